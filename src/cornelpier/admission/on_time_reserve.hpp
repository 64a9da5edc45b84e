#pragma once

#include "cornelpier/base/units.hpp"

#include <cstddef>
#include <cstdint>

namespace cornelpier {

/// Keeps a part of the slots free of runs that are late already. Answers overload by callers who came back: a
/// late run that takes the last slot makes the next one late too that would have been in time, until nothing
/// is. Without runs in time there is nothing to keep slots for.
class on_time_reserve {
  public:
    /// Notes that a run starts that will be in time.
    void on_timely_start(time_point now) { m_last_timely_start = now; }

    /// @param at_server runs at the server.
    /// @param limit runs that the server gets at a time.
    /// @return whether a late run may start now.
    [[nodiscard]] bool admits_late(std::size_t at_server, std::uint32_t limit, time_point now) const;

  private:
    time_point m_last_timely_start = time_point::min();
};

} // namespace cornelpier
