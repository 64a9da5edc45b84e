#include "cornelpier/plan/entry_pairing.hpp"

#include <algorithm>
#include <functional>
#include <limits>
#include <optional>
#include <unordered_map>

namespace cornelpier {

namespace {

using key_function = std::function<std::string(const plan_entry&)>;

/// Pairs entries in several passes.
class pairing_builder {
  public:
    pairing_builder(const std::vector<plan_entry>& before, const std::vector<plan_entry>& after)
        : m_before(before), m_after(after), m_is_paired(before.size()), m_partners(after.size()) {}

    /// Pairs the remaining entries with the same key, in the order of the versions. Entries without a key are
    /// not paired.
    void pair_by(const key_function& key) {
        std::unordered_map<std::string, std::vector<std::size_t>> positions;
        for (std::size_t n = m_before.size(); n-- > 0;) {
            if (!m_is_paired[n]) {
                positions[key(m_before[n])].push_back(n);
            }
        }
        positions.erase("");
        for (std::size_t n = 0; n < m_after.size(); ++n) {
            const auto it = m_partners[n] ? positions.end() : positions.find(key(m_after[n]));
            if (it == positions.end() || it->second.empty()) {
                continue;
            }
            m_partners[n] = it->second.back();
            m_is_paired[it->second.back()] = true;
            it->second.pop_back();
        }
    }

    [[nodiscard]] entry_pairing result() const {
        entry_pairing built;
        for (std::size_t n = 0; n < m_after.size(); ++n) {
            if (m_partners[n]) {
                built.pairs.emplace_back(*m_partners[n], n);
            } else {
                built.added.push_back(n);
            }
        }
        for (std::size_t n = 0; n < m_before.size(); ++n) {
            if (!m_is_paired[n]) {
                built.removed.push_back(n);
            }
        }
        return built;
    }

  private:
    const std::vector<plan_entry>& m_before;
    const std::vector<plan_entry>& m_after;
    std::vector<bool> m_is_paired;                      ///< By position in `before`.
    std::vector<std::optional<std::size_t>> m_partners; ///< Position in `before`, by position in `after`.
};

} // namespace

entry_pairing pair_entries(const std::vector<plan_entry>& before, const std::vector<plan_entry>& after) {
    pairing_builder builder(before, after);
    builder.pair_by([](const plan_entry& it) { return it.name + '\n' + it.match; });
    builder.pair_by([](const plan_entry& it) { return it.name; });
    builder.pair_by([](const plan_entry& it) { return it.match; });
    return builder.result();
}

std::vector<std::size_t> moved_positions(const std::vector<std::size_t>& order) {
    // Longest ascending subsequence: `ends[k]` is the position of the smallest element that ends one of
    // length k + 1.
    constexpr std::size_t none = std::numeric_limits<std::size_t>::max();
    std::vector<std::size_t> ends;
    std::vector<std::size_t> previous(order.size(), none);
    for (std::size_t n = 0; n < order.size(); ++n) {
        const auto it =
            std::ranges::lower_bound(ends, order[n], {}, [&](std::size_t end) { return order[end]; });
        previous[n] = it == ends.begin() ? none : *(it - 1);
        if (it == ends.end()) {
            ends.push_back(n);
        } else {
            *it = n;
        }
    }

    std::vector<bool> stays(order.size());
    for (std::size_t n = ends.empty() ? none : ends.back(); n != none; n = previous[n]) {
        stays[n] = true;
    }
    std::vector<std::size_t> moved;
    for (std::size_t n = 0; n < order.size(); ++n) {
        if (!stays[n]) {
            moved.push_back(n);
        }
    }
    return moved;
}

} // namespace cornelpier
