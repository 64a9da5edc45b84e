#include "cornelpier/membership/peer_selector.hpp"

#include <algorithm>
#include <utility>

namespace cornelpier {

void peer_selector::collect(std::span<const member> members) {
    m_scratch.clear();
    const bool has_plan = std::ranges::any_of(members, &member::in_plan);
    for (std::size_t n = 1; n < members.size(); ++n) {
        if (members[n].in_plan == has_plan && !members[n].address.empty()) {
            m_scratch.push_back(n);
        }
    }
}

std::vector<peer> peer_selector::draw(std::span<const member> members, std::size_t count,
                                      random_source& random) {
    std::vector<peer> drawn;
    for (std::size_t n = 0; n < std::min(count, m_scratch.size()); ++n) {
        std::swap(m_scratch[n], m_scratch[n + random.below(m_scratch.size() - n)]);
        const member& it = members[m_scratch[n]];
        drawn.push_back({it.id, it.address});
    }
    return drawn;
}

std::vector<peer> peer_selector::pick(std::span<const member> members, std::size_t count,
                                      random_source& random) {
    collect(members);
    return draw(members, count, random);
}

std::vector<peer> peer_selector::pick_with_neighbour(std::span<const member> members, std::size_t count,
                                                     random_source& random) {
    collect(members);
    const auto others = std::partition(m_scratch.begin(), m_scratch.end(), [&](std::size_t n) {
        return members[n].data_centre == members.front().data_centre;
    });
    const auto neighbours = static_cast<std::size_t>(others - m_scratch.begin());
    if (neighbours == 0 || count == 0) {
        return draw(members, count, random);
    }

    const std::size_t chosen = random.below(neighbours);
    const member& first = members[m_scratch[chosen]];
    m_scratch.erase(m_scratch.begin() + static_cast<std::ptrdiff_t>(chosen));
    auto drawn = draw(members, count - 1, random);
    drawn.push_back({first.id, first.address});
    return drawn;
}

} // namespace cornelpier
