#include "cornelpier/membership/reader_election.hpp"

#include "cornelpier/base/hash.hpp"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace cornelpier {

namespace {

struct ranked_member {
    std::uint64_t score = 0;
    const member* node = nullptr;
    bool alive = false;
};

} // namespace

void reader_election::update(std::span<const member> members, time_point now) {
    std::vector<ranked_member> group;
    for (const auto& it : members) {
        const bool own = it.id == m_self;
        if (it.data_centre != m_data_centre || (!own && (!it.in_plan || it.age(now) > max_candidate_age))) {
            continue;
        }
        group.push_back({rendezvous_score(m_data_centre.value(), it.id.value()), &it,
                         own || it.age(now) <= failure_timeout});
    }
    std::ranges::sort(group, std::greater<>{}, &ranked_member::score);
    group.resize(std::min(group.size(), group_size));

    m_group_peers.clear();
    m_reader = false;
    if (std::ranges::none_of(group, [&](const auto& it) { return it.node->id == m_self; })) {
        m_joined_group_at.reset();
        return;
    }

    if (!m_joined_group_at) {
        m_joined_group_at = now;
    }
    std::size_t alive_before = 0;
    for (const auto& it : group) {
        if (it.node->id == m_self) {
            m_reader = alive_before < reader_count && now - *m_joined_group_at >= settle_time;
        } else {
            m_group_peers.push_back(it.node->id);
        }
        alive_before += it.alive ? 1U : 0U;
    }
}

} // namespace cornelpier
