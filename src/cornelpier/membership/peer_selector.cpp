#include "cornelpier/membership/peer_selector.hpp"

#include <algorithm>
#include <utility>

namespace cornelpier {

void peer_selector::collect_candidates(std::span<const member> members) {
    m_candidates.clear();
    const bool has_plan = std::ranges::any_of(members, &member::in_plan);
    for (std::size_t n = 1; n < members.size(); ++n) {
        if (members[n].in_plan == has_plan && !members[n].address.empty()) {
            m_candidates.push_back(n);
        }
    }
}

std::vector<peer> peer_selector::draw(std::span<const member> members, std::size_t count,
                                      random_source& random) {
    std::vector<peer> drawn;
    for (std::size_t n = 0; n < std::min(count, m_candidates.size()); ++n) {
        std::swap(m_candidates[n], m_candidates[n + random.below(m_candidates.size() - n)]);
        const member& it = members[m_candidates[n]];
        drawn.push_back({it.id, it.address});
    }
    return drawn;
}

std::vector<peer> peer_selector::pick(std::span<const member> members, std::size_t count,
                                      random_source& random) {
    collect_candidates(members);
    return draw(members, count, random);
}

std::vector<peer> peer_selector::pick_with_local_peer(std::span<const member> members, std::size_t count,
                                                      random_source& random) {
    collect_candidates(members);
    const auto first_remote = std::partition(m_candidates.begin(), m_candidates.end(), [&](std::size_t n) {
        return members[n].data_centre == members.front().data_centre;
    });
    const auto local_count = static_cast<std::size_t>(first_remote - m_candidates.begin());
    if (local_count == 0 || count == 0) {
        return draw(members, count, random);
    }

    const std::size_t local_index = random.below(local_count);
    const member& local_peer = members[m_candidates[local_index]];
    m_candidates.erase(m_candidates.begin() + static_cast<std::ptrdiff_t>(local_index));
    auto drawn = draw(members, count - 1, random);
    drawn.push_back({local_peer.id, local_peer.address});
    return drawn;
}

} // namespace cornelpier
