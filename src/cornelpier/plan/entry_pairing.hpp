#pragma once

#include "cornelpier/plan/value_list.hpp"

#include <cstddef>
#include <string>
#include <utility>
#include <vector>

namespace cornelpier {

/// Entry of a plan as it is compared with another version.
struct plan_entry {
    std::string name;
    std::string match; ///< What selects the entry, such as host and path prefix; empty if the name does.
    value_list values;
};

/// Entries of two versions that are the same entry, by their positions.
struct entry_pairing {
    std::vector<std::pair<std::size_t, std::size_t>> pairs; ///< Before and after, in the order of `after`.
    std::vector<std::size_t> removed;                       ///< Positions in `before`, ascending.
    std::vector<std::size_t> added;                         ///< Positions in `after`, ascending.
};

/// Pairs the entries of two versions: first those with the same name and match, then those with the same
/// name, then those with the same match.
entry_pairing pair_entries(const std::vector<plan_entry>& before, const std::vector<plan_entry>& after);

/// @return the positions in `order` of the fewest elements that must move to get the rest into ascending
/// order, ascending.
std::vector<std::size_t> moved_positions(const std::vector<std::size_t>& order);

} // namespace cornelpier
