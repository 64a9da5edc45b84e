#pragma once

#include "cornelpier/base/random_source.hpp"
#include "cornelpier/membership/member.hpp"

#include <cstddef>
#include <span>
#include <vector>

namespace cornelpier {

/// Destination of a control message.
struct peer {
    target_id id;
    std::string address;
};

/// Picks random peers from the targets of the plan, or from the seeds while there is no plan.
class peer_selector {
  public:
    /// @param members all members, this node first.
    /// @param count number of peers wanted.
    /// @return up to `count` distinct peers, never this node.
    std::vector<peer> pick(std::span<const member> members, std::size_t count, random_source& random);

    /// Like `pick`, but at least one peer is in this node's data centre if there is any. It comes last.
    std::vector<peer> pick_with_local_peer(std::span<const member> members, std::size_t count,
                                           random_source& random);

  private:
    void collect_candidates(std::span<const member> members);
    std::vector<peer> draw(std::span<const member> members, std::size_t count, random_source& random);

    std::vector<std::size_t> m_candidates;
};

} // namespace cornelpier
