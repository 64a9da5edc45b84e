#include "cornelpier/membership/reader_election.hpp"

#include "cornelpier/base/hash.hpp"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace cornelpier {

namespace {

struct candidate {
    std::uint64_t score = 0;
    const member* who = nullptr;
    bool alive = false;
};

} // namespace

void reader_election::update(std::span<const member> members, time_point now) {
    std::vector<candidate> group;
    for (const auto& it : members) {
        const bool own = it.id == m_self;
        if (it.data_centre != m_data_centre || (!own && (!it.in_plan || it.age(now) > candidate_limit))) {
            continue;
        }
        group.push_back({rendezvous_score(m_data_centre.value(), it.id.value()), &it,
                         own || it.age(now) <= silent_limit});
    }
    std::ranges::sort(group, std::greater<>{}, &candidate::score);
    group.resize(std::min(group.size(), group_size));

    m_watched.clear();
    m_reader = false;
    if (std::ranges::none_of(group, [&](const auto& it) { return it.who->id == m_self; })) {
        m_in_group_since.reset();
        return;
    }

    if (!m_in_group_since) {
        m_in_group_since = now;
    }
    std::size_t alive_before = 0;
    for (const auto& it : group) {
        if (it.who->id == m_self) {
            m_reader = alive_before < reader_count && now - *m_in_group_since >= settle_time;
        } else {
            m_watched.push_back(it.who->id);
        }
        alive_before += it.alive ? 1U : 0U;
    }
}

} // namespace cornelpier
