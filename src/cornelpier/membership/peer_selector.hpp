#pragma once

#include "cornelpier/base/random_source.hpp"
#include "cornelpier/membership/member.hpp"

#include <cstddef>
#include <span>
#include <vector>

namespace cornelpier {

/// Node to send a control message to.
struct peer {
    target_id id;
    std::string address;
};

/// Draws peers at random: from the plan's targets, or from the seeds before there is a plan.
class peer_selector {
  public:
    /// @param members all members, the own one first.
    /// @param count peers wanted.
    /// @return up to `count` different peers, never the own node.
    std::vector<peer> pick(std::span<const member> members, std::size_t count, random_source& random);

    /// As `pick`, but the first peer is of the own data centre if there is one.
    std::vector<peer> pick_with_local_peer(std::span<const member> members, std::size_t count,
                                           random_source& random);

  private:
    void collect_candidates(std::span<const member> members);
    std::vector<peer> draw(std::span<const member> members, std::size_t count, random_source& random);

    std::vector<std::size_t> m_candidates;
};

} // namespace cornelpier
