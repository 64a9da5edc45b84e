#pragma once

#include "cornelpier/base/event_record.hpp"
#include "cornelpier/base/units.hpp"

#include <cstdint>
#include <unordered_map>

namespace cornelpier {

/// Keeps a lasting failure from filling the log: the same event with the same fields passes once per period.
class event_limiter {
  public:
    /// Time during which a repetition is dropped.
    static constexpr duration period = std::chrono::seconds{10};

    /// @return true if the event is to be recorded.
    bool allow(const event_record& record, time_point now);

  private:
    std::unordered_map<std::uint64_t, time_point> m_last; ///< By hash of number and fields.
};

} // namespace cornelpier
