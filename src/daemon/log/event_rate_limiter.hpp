#pragma once

#include "cornelpier/base/event_catalogue.hpp"
#include "cornelpier/base/units.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace cornelpier {

/// Limit for each event number.
inline constexpr std::uint32_t max_events_per_second = 10;

/// Limits the log to `max_events_per_second` events of each number per second and counts the others.
class event_rate_limiter {
  public:
    /// Count of the suppressed events of one number.
    struct suppressed_events {
        event_number number{};
        std::uint64_t count = 0;
    };

    /// @param now time of the event; never earlier than at the previous call.
    /// @return the number of events of this number suppressed since the last one written, or nothing if this
    /// event must be suppressed.
    std::optional<std::uint64_t> admit(event_number number, time_point now);

    /// Resets and returns the nonzero counts of event numbers whose window has ended.
    std::vector<suppressed_events> take_suppressed(time_point now);

  private:
    struct window {
        time_point start;
        std::uint32_t written = 0;
        std::uint64_t suppressed = 0;
    };

    std::map<event_number, window> m_windows;
};

} // namespace cornelpier
