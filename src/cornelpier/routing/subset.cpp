#include "cornelpier/routing/subset.hpp"

#include "cornelpier/base/hash.hpp"

#include <algorithm>
#include <cstdint>
#include <map>
#include <utility>

namespace cornelpier {

namespace {

constexpr std::size_t max_own_data_centre_targets = max_subset_size * 2 / 3;

// Widths of the parts of a sort key. A plan of the maximum size has fewer targets than an index can
// represent.
constexpr std::uint64_t index_bits = 20;
constexpr std::uint64_t random_part_bits = 32;

/// Assigns targets to one entry after the other.
class subset_assigner {
  public:
    /// @param usable indices of the targets that may be assigned.
    subset_assigner(const service_plan& service, const std::vector<std::size_t>& usable) {
        std::map<data_centre_id, std::size_t> indices;
        for (const std::size_t i : usable) {
            const auto& it = service.targets[i];
            m_hashes.push_back(rendezvous_score(service.id.value(), it.id.value()));
            m_data_centres.push_back(indices.try_emplace(it.data_centre, indices.size()).first->second);
        }
        m_uses.resize(m_hashes.size());
        m_keys.resize(m_hashes.size());
        m_order.resize(m_hashes.size());
        m_data_centre_indices = std::move(indices);
    }

    /// @param round number of the entry; varies the order of equally used targets.
    /// @return positions of the assigned targets among the usable ones; valid until the next call.
    const std::vector<std::size_t>& assign(std::uint64_t round, const data_centre_id& own_data_centre) {
        sort_targets(round);
        const auto it = m_data_centre_indices.find(own_data_centre);
        const std::size_t own_index =
            it == m_data_centre_indices.end() ? m_data_centre_indices.size() : it->second;
        const bool limits_own = m_data_centre_indices.size() > 1;

        m_assigned.clear();
        std::size_t own_count = 0;
        for (const std::size_t target : m_order) {
            const bool is_own = m_data_centres[target] == own_index;
            if (limits_own && is_own && own_count == max_own_data_centre_targets) {
                continue;
            }
            own_count += is_own ? 1 : 0;
            m_assigned.push_back(target);
            if (m_assigned.size() == max_subset_size) {
                break;
            }
        }
        ensure_second_data_centre();
        for (const std::size_t target : m_assigned) {
            ++m_uses[target];
        }
        return m_assigned;
    }

  private:
    /// Sorts the targets by number of uses, then in an order that differs between rounds. Number of uses,
    /// random bits and index are packed into one integer, since this runs once per entry of the fleet.
    void sort_targets(std::uint64_t round) {
        const std::uint64_t fewest = *std::ranges::min_element(m_uses);
        for (std::size_t i = 0; i < m_uses.size(); ++i) {
            const std::uint64_t random_bits = mix(m_hashes[i] + round) >> (64U - random_part_bits);
            m_keys[i] =
                ((m_uses[i] - fewest) << (random_part_bits + index_bits)) | (random_bits << index_bits) | i;
        }
        std::ranges::sort(m_keys);
        constexpr std::uint64_t index_mask = (std::uint64_t{1} << index_bits) - 1;
        std::ranges::transform(m_keys, m_order.begin(), [](std::uint64_t key) { return key & index_mask; });
    }

    /// Replaces the last target by one in another data centre if all are in the same one.
    void ensure_second_data_centre() {
        const std::size_t first = m_data_centres[m_assigned.front()];
        const auto in_other_data_centre = [&](std::size_t target) { return m_data_centres[target] != first; };
        if (std::ranges::any_of(m_assigned, in_other_data_centre)) {
            return;
        }
        const auto it = std::ranges::find_if(m_order, in_other_data_centre);
        if (it != m_order.end()) {
            m_assigned.back() = *it;
        }
    }

    static std::uint64_t mix(std::uint64_t value) {
        value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
        value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
        return value ^ (value >> 31U);
    }

    std::vector<std::uint64_t> m_hashes;
    std::vector<std::size_t> m_data_centres;
    std::vector<std::uint64_t> m_uses;
    std::vector<std::uint64_t> m_keys;
    std::vector<std::size_t> m_order;
    std::vector<std::size_t> m_assigned;
    std::map<data_centre_id, std::size_t> m_data_centre_indices;
};

} // namespace

std::vector<subset_entry> subset_entries(const plan& current_plan) {
    std::vector<subset_entry> result;
    for (const auto& service : current_plan.services) {
        for (const auto& it : service.targets) {
            result.push_back({it.id, it.data_centre});
        }
    }
    std::ranges::sort(result, {}, &subset_entry::id);
    return result;
}

std::vector<std::size_t> choose_subset(const service_plan& service, const std::vector<subset_entry>& entries,
                                       const target_id& self, const data_centre_id& own_data_centre,
                                       const std::vector<data_centre_id>& evacuated) {
    std::vector<std::size_t> usable;
    usable.reserve(service.targets.size());
    for (std::size_t i = 0; i < service.targets.size(); ++i) {
        if (!std::ranges::binary_search(evacuated, service.targets[i].data_centre)) {
            usable.push_back(i);
        }
    }
    if (usable.size() <= max_subset_size) {
        return usable;
    }

    subset_assigner assigner(service, usable);
    std::uint64_t round = 0;
    for (const auto& it : entries) {
        if (it.id >= self) {
            break;
        }
        assigner.assign(round++, it.data_centre);
    }
    std::vector<std::size_t> result;
    for (const std::size_t position : assigner.assign(round, own_data_centre)) {
        result.push_back(usable[position]);
    }
    std::ranges::sort(result);
    return result;
}

} // namespace cornelpier
