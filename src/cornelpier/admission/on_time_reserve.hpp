#pragma once

#include "cornelpier/base/units.hpp"

#include <cstddef>
#include <cstdint>

namespace cornelpier {

/// Reserves slots for runs that can still meet their objective. Under overload by retrying callers, a late
/// run that takes the last slot delays the next run beyond its objective as well, until all runs are late.
/// Nothing is reserved if no on-time run started recently.
class on_time_reserve {
  public:
    /// Records the start of a run that can meet its objective.
    void on_timely_start(time_point now) { m_last_timely_start = now; }

    /// @param at_server runs at the server.
    /// @param limit concurrency limit of the server.
    /// @return whether a late run may start now.
    [[nodiscard]] bool admits_late(std::size_t at_server, std::uint32_t limit, time_point now) const;

  private:
    time_point m_last_timely_start = time_point::min();
};

} // namespace cornelpier
