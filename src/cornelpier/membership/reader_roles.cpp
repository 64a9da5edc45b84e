#include "cornelpier/membership/reader_roles.hpp"

#include "cornelpier/base/hash.hpp"

#include <algorithm>
#include <iterator>
#include <map>

namespace cornelpier {

namespace {

/// Hash key of the rank in a region. The rank in a data centre uses the name of the data centre as its key.
constexpr std::string_view region_key = "reader";

/// @return the `count` nodes of the highest rank, by descending rank. Ranks under different keys are
/// independent.
std::vector<target_id> first_by_rank(std::string_view key, const std::vector<target_id>& nodes,
                                     std::size_t count) {
    std::vector<std::pair<std::uint64_t, target_id>> ranked;
    ranked.reserve(nodes.size());
    for (const auto& it : nodes) {
        ranked.emplace_back(rendezvous_score(key, it.value()), it);
    }
    const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(std::min(ranked.size(), count));
    std::ranges::partial_sort(ranked, end, std::ranges::greater{});
    std::vector<target_id> first;
    std::ranges::transform(ranked.begin(), end, std::back_inserter(first),
                           &std::pair<std::uint64_t, target_id>::second);
    return first;
}

bool contains(const std::vector<target_id>& nodes, const target_id& node) {
    return std::ranges::find(nodes, node) != nodes.end();
}

} // namespace

void reader_roles::set_members(const std::vector<reader_candidate>& members) {
    std::map<data_centre_id, std::vector<target_id>> by_data_centre;
    std::vector<target_id> all;
    for (const auto& it : members) {
        by_data_centre[it.data_centre].push_back(it.node);
        all.push_back(it.node);
    }
    m_recipients.clear();
    m_tree = {};
    m_is_reader = false;
    m_is_relay = false;
    const auto readers = first_by_rank(region_key, all, 1);
    m_reader = readers.empty() ? std::nullopt : std::optional{readers.front()};
    if (!contains(all, m_self)) {
        // Other nodes do not have this node in their list and send it no updates, so that it reads for
        // itself.
        return;
    }

    m_is_reader = m_reader == m_self;
    for (const auto& [data_centre, nodes] : by_data_centre) {
        const auto relays =
            first_by_rank(data_centre.value(), nodes, nodes.size() >= two_relay_min_nodes ? 2 : 1);
        const bool is_own = data_centre == m_data_centre;
        m_is_relay = m_is_relay || (is_own && contains(relays, m_self));
        if (is_own) {
            m_tree.set_nodes(m_self, first_by_rank(data_centre.value(), nodes, nodes.size()));
        }
        if (is_own && m_is_relay) {
            m_recipients.insert(m_recipients.end(), nodes.begin(), nodes.end());
        } else if (m_is_reader) {
            m_recipients.insert(m_recipients.end(), relays.begin(), relays.end());
        }
    }
    std::erase(m_recipients, m_self);
}

} // namespace cornelpier
