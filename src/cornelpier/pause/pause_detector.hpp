#pragma once

#include "cornelpier/base/units.hpp"

#include <optional>

namespace cornelpier {

/// Interval at which the clocks are read.
inline constexpr duration pause_poll_interval = std::chrono::milliseconds{50};

/// Gaps longer than this count as a pause.
inline constexpr duration pause_threshold = std::chrono::milliseconds{500};

/// Detects from clock readings that the process was paused. Does not read the clocks itself.
class pause_detector {
  public:
    /// Processes a reading of both clocks. Must be called every `pause_poll_interval`.
    /// @param monotonic monotonic time, which stops while the machine is suspended.
    /// @param boot time since boot, which continues while the machine is suspended.
    /// @return the gap since the previous reading, on the clock that advanced further, if it is a pause.
    std::optional<duration> tick(duration monotonic, duration boot);

  private:
    struct clock_readings {
        duration monotonic;
        duration boot;
    };

    std::optional<clock_readings> m_last;
};

} // namespace cornelpier
