#include "cornelpier/routing/subset.hpp"

#include "cornelpier/base/hash.hpp"

#include <algorithm>
#include <cstdint>
#include <map>
#include <numeric>
#include <utility>

namespace cornelpier {

namespace {

constexpr std::size_t max_own_share = max_subset_size * 2 / 3;

/// Deals targets to one entry after the other.
class subset_dealer {
  public:
    explicit subset_dealer(const service_plan& service) {
        std::map<data_centre_id, std::size_t> numbers;
        for (const auto& it : service.targets) {
            m_hashes.push_back(rendezvous_score(service.id.value(), it.id.value()));
            m_data_centres.push_back(numbers.try_emplace(it.data_centre, numbers.size()).first->second);
        }
        m_uses.resize(m_hashes.size());
        m_numbers = std::move(numbers);
    }

    /// @param round number of the entry; varies the order among equally used targets.
    std::vector<std::size_t> deal(std::uint64_t round, const data_centre_id& own) {
        const auto order = ranking(round);
        const auto it = m_numbers.find(own);
        const std::size_t own_number = it == m_numbers.end() ? m_numbers.size() : it->second;

        std::vector<std::size_t> result;
        std::size_t own_share = 0;
        for (const std::size_t target : order) {
            const bool is_own = m_data_centres[target] == own_number;
            if (result.size() == max_subset_size ||
                (is_own && own_share == max_own_share && !only(own_number))) {
                continue;
            }
            own_share += is_own ? 1 : 0;
            result.push_back(target);
        }
        spread(result, order);
        for (const std::size_t target : result) {
            ++m_uses[target];
        }
        return result;
    }

  private:
    [[nodiscard]] bool only(std::size_t number) const { return m_numbers.size() == 1 && number == 0; }

    /// Targets by number of uses, then in an order that differs from round to round.
    [[nodiscard]] std::vector<std::size_t> ranking(std::uint64_t round) const {
        std::vector<std::pair<std::pair<std::size_t, std::uint64_t>, std::size_t>> keyed;
        keyed.reserve(m_uses.size());
        for (std::size_t i = 0; i < m_uses.size(); ++i) {
            keyed.push_back({{m_uses[i], mix(m_hashes[i] + round)}, i});
        }
        std::ranges::sort(keyed);

        std::vector<std::size_t> result(keyed.size());
        std::ranges::transform(keyed, result.begin(), [](const auto& it) { return it.second; });
        return result;
    }

    /// Replaces the last target by one elsewhere if all lie in one data centre.
    void spread(std::vector<std::size_t>& chosen, const std::vector<std::size_t>& order) const {
        const std::size_t first = m_data_centres[chosen.front()];
        const auto elsewhere = [&](std::size_t target) { return m_data_centres[target] != first; };
        if (std::ranges::any_of(chosen, elsewhere)) {
            return;
        }
        const auto it = std::ranges::find_if(order, elsewhere);
        if (it != order.end()) {
            chosen.back() = *it;
        }
    }

    static std::uint64_t mix(std::uint64_t value) {
        value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
        value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
        return value ^ (value >> 31U);
    }

    std::vector<std::uint64_t> m_hashes;
    std::vector<std::size_t> m_data_centres;
    std::vector<std::size_t> m_uses;
    std::map<data_centre_id, std::size_t> m_numbers;
};

} // namespace

std::vector<subset_entry> subset_entries(const plan& sheet) {
    std::vector<subset_entry> result;
    for (const auto& service : sheet.services) {
        for (const auto& it : service.targets) {
            result.push_back({it.id, it.data_centre});
        }
    }
    std::ranges::sort(result, {}, &subset_entry::id);
    return result;
}

std::vector<std::size_t> choose_subset(const service_plan& service, const std::vector<subset_entry>& entries,
                                       const target_id& self, const data_centre_id& own) {
    std::vector<std::size_t> result(service.targets.size());
    std::iota(result.begin(), result.end(), std::size_t{0});
    if (result.size() <= max_subset_size) {
        return result;
    }

    subset_dealer dealer(service);
    std::uint64_t round = 0;
    for (const auto& it : entries) {
        if (it.id >= self) {
            break;
        }
        dealer.deal(round++, it.data_centre);
    }
    result = dealer.deal(round, own);
    std::ranges::sort(result);
    return result;
}

} // namespace cornelpier
