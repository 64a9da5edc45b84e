#pragma once

#include "cornelpier/fleet/fleet_view.hpp"
#include "cornelpier/membership/member.hpp"

#include <algorithm>
#include <span>

namespace cornelpier {

/// Decides when the traffic side gets a new view, and builds it.
class view_publisher {
  public:
    /// Views that tell of a node that began or ceased to leave are at least this far apart.
    static constexpr duration leaving_change_interval = std::chrono::milliseconds{100};

    /// Other changes of members, such as nodes that were heard of for the first time, are collected for this
    /// long, since a view names every target.
    static constexpr duration other_change_interval = std::chrono::seconds{2};

    /// The next view does not wait: the plan changed or peers were asked again.
    void request_now() { m_min_interval = duration::zero(); }

    /// A node or VM began or ceased to leave.
    void request_soon() { m_min_interval = std::min(m_min_interval, leaving_change_interval); }

    /// Another fact on members changed.
    void request_later() { m_min_interval = std::min(m_min_interval, other_change_interval); }

    /// @param current plan in force, not null.
    /// @return the view to publish, or null if none is due.
    shared_fleet_view take_due(const std::shared_ptr<const plan>& current, std::span<const member> members,
                               time_point now);

  private:
    duration m_min_interval = duration::max(); ///< Least time after the last view; `max` if nothing changed.
    time_point m_published_at;
};

} // namespace cornelpier
