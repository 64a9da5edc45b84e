#pragma once

#include "cornelpier/base/event_record.hpp"
#include "cornelpier/base/units.hpp"

#include <cstdint>
#include <unordered_map>

namespace cornelpier {

/// Suppresses repetitions, so that a persistent failure does not fill the log: an event with the same fields
/// passes once per period.
class event_limiter {
  public:
    /// Time for which repetitions of an event are suppressed.
    static constexpr duration period = std::chrono::seconds{10};

    /// @return true if the event is to be logged.
    bool allow(const event_record& record, time_point now);

  private:
    std::unordered_map<std::uint64_t, time_point> m_last; ///< By hash of number and fields.
};

} // namespace cornelpier
