#pragma once

#include "cornelpier/base/random_source.hpp"

namespace cornelpier {

/// Limits the share of a service's calls that an entry offers to far data centres (additive increase,
/// multiplicative decrease). The owners there refuse what does not fit beside the calls of their own data
/// centre; each refusal lowers the share, so that the excess of one data centre does not occupy its
/// neighbour.
class spill_limiter {
  public:
    /// @param random decides whether this call belongs to the share.
    /// @return whether the call may be offered to a far data centre.
    [[nodiscard]] bool admits(random_source& random) const { return random.unit() < m_share; }

    /// Records that an owner in a far data centre accepted a call.
    void on_accepted();

    /// Records that an owner in a far data centre refused a call for its load.
    void on_refused();

    /// @return share of the calls, in (0, 1].
    [[nodiscard]] double share() const { return m_share; }

  private:
    /// Large enough to relieve a data centre that lost a server, small enough not to fill a neighbour before
    /// its first refusals arrive.
    static constexpr double initial_share = 0.25;

    double m_share = initial_share;
};

} // namespace cornelpier
