#pragma once

#include "cornelpier/base/units.hpp"

#include <optional>

namespace cornelpier {

/// Period in which the clocks are read.
inline constexpr duration pause_poll_interval = std::chrono::milliseconds{50};

/// Gaps above this count as a pause.
inline constexpr duration pause_threshold = std::chrono::milliseconds{500};

/// Detects that the process did not run. It reads no clock itself.
class pause_detector {
  public:
    /// Takes a reading of both clocks; expected every `pause_poll_interval`.
    /// @param monotonic time that stands still while the machine is suspended.
    /// @param boot time since boot that goes on while the machine is suspended.
    /// @return the length of the gap since the previous reading, on the clock that moved further, if it
    /// counts as a pause.
    std::optional<duration> tick(duration monotonic, duration boot);

  private:
    struct clock_readings {
        duration monotonic;
        duration boot;
    };

    std::optional<clock_readings> m_last;
};

} // namespace cornelpier
