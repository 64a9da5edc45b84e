#pragma once

#include "cornelpier/fleet/fleet_view.hpp"
#include "cornelpier/membership/member.hpp"

#include <algorithm>
#include <span>

namespace cornelpier {

/// Builds fleet views for the traffic side and limits how often they are published.
class view_publisher {
  public:
    /// Minimum interval before a view in which a node or VM began or ceased to leave.
    static constexpr duration leaving_change_interval = std::chrono::milliseconds{100};

    /// Minimum interval before a view that has only other member changes, such as newly seen nodes. It is
    /// longer since every view is a copy of the state of all targets.
    static constexpr duration other_change_interval = std::chrono::seconds{2};

    /// Publishes the next view without delay, after a plan change or a peer query.
    void request_now() { m_min_interval = duration::zero(); }

    /// Requests a view after a node or VM began or ceased to leave.
    void request_soon() { m_min_interval = std::min(m_min_interval, leaving_change_interval); }

    /// Requests a view after any other member change.
    void request_later() { m_min_interval = std::min(m_min_interval, other_change_interval); }

    /// @param current plan in force; not null.
    /// @return the view to publish, or null if none is due.
    shared_fleet_view take_due(const std::shared_ptr<const plan>& current, std::span<const member> members,
                               time_point now);

  private:
    duration m_min_interval = duration::max(); ///< Between the last view and the next; `max` if unchanged.
    time_point m_published_at;
};

} // namespace cornelpier
