#include "cornelpier/membership/reader_roles.hpp"

#include "cornelpier/base/hash.hpp"

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <map>
#include <string_view>
#include <tuple>
#include <utility>

namespace cornelpier {

namespace {

/// Hash key of the rank in a region. The rank in a data centre uses the name of the data centre as its key.
constexpr std::string_view region_key = "reader";

/// @return the `count` nodes of the highest rank, by descending rank; those that leave come last. Ranks under
/// different keys are independent.
std::vector<target_id> first_by_rank(std::string_view key, const std::vector<reader_candidate>& candidates,
                                     std::size_t count) {
    std::vector<std::tuple<bool, std::uint64_t, target_id>> ranked;
    ranked.reserve(candidates.size());
    for (const auto& it : candidates) {
        ranked.emplace_back(!it.leaving, rendezvous_score(key, it.node.value()), it.node);
    }
    const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(std::min(ranked.size(), count));
    std::ranges::partial_sort(ranked, end, std::ranges::greater{});
    std::vector<target_id> nodes;
    std::for_each(ranked.begin(), end, [&](auto& it) { nodes.push_back(std::move(std::get<2>(it))); });
    return nodes;
}

bool contains(const std::vector<target_id>& nodes, const target_id& node) {
    return std::ranges::find(nodes, node) != nodes.end();
}

} // namespace

void reader_roles::set_members(const std::vector<reader_candidate>& members) {
    std::map<data_centre_id, std::vector<reader_candidate>> by_data_centre;
    for (const auto& it : members) {
        by_data_centre[it.data_centre].push_back(it);
    }
    m_recipients.clear();
    m_relays.clear();
    m_updated_roots.clear();
    m_tree = {};
    const auto readers = first_by_rank(region_key, members, 1);
    m_reader = readers.empty() ? std::nullopt : std::optional{readers.front()};
    m_is_listed = std::ranges::find(members, m_self, &reader_candidate::node) != members.end();
    // A node that is not listed gets no updates unless it asks for them, and has no role.
    m_is_reader = m_is_listed && m_reader == m_self;
    m_is_relay = false;
    for (const auto& [data_centre, candidates] : by_data_centre) {
        const std::size_t relay_count = candidates.size() >= two_relay_min_nodes ? 2 : 1;
        const auto relays = first_by_rank(data_centre.value(), candidates, relay_count);
        const bool is_own = data_centre == m_data_centre;
        if (is_own) {
            const auto leaving = std::ranges::count_if(candidates, &reader_candidate::leaving);
            m_tree.set_nodes(m_self, first_by_rank(data_centre.value(), candidates, candidates.size()),
                             static_cast<std::size_t>(leaving));
            m_relays = relays;
            m_is_relay = contains(relays, m_self);
        }
        if (m_is_reader || (is_own && m_is_relay)) {
            for (std::size_t n = 0; n < relays.size(); ++n) {
                m_updated_roots.emplace_back(relays[n], n == 0 ? relay_route::first : relay_route::second);
            }
        }
        if (is_own && m_is_relay) {
            std::ranges::transform(candidates, std::back_inserter(m_recipients), &reader_candidate::node);
        } else if (m_is_reader) {
            m_recipients.insert(m_recipients.end(), relays.begin(), relays.end());
        }
    }
    std::erase(m_recipients, m_self);
}

} // namespace cornelpier
