#pragma once

#include "cornelpier/base/event_catalogue.hpp"
#include "cornelpier/base/units.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace cornelpier {

/// Events of one number that are written per second.
inline constexpr std::uint32_t max_events_per_second = 10;

/// Bounds the log: at most `max_events_per_second` events of one number in each second; the rest is counted.
class event_rate_limiter {
  public:
    /// Number of events that were left out.
    struct suppressed_events {
        event_number number{};
        std::uint64_t count = 0;
    };

    /// @param now time of the event; never earlier than at the previous call.
    /// @return how many events of this number were left out since the last one that was written, or nothing
    /// if this event is to be left out.
    std::optional<std::uint64_t> admit(event_number number, time_point now);

    /// @return the counts of numbers whose second is over and that have had no event written since.
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
