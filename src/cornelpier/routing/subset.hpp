#pragma once

#include "cornelpier/base/ids.hpp"
#include "cornelpier/plan/plan.hpp"

#include <cstddef>
#include <vector>

namespace cornelpier {

/// Largest number of targets per service that an entry uses.
inline constexpr std::size_t max_subset_size = 12;

/// Node that may act as entry.
struct subset_entry {
    target_id id;
    data_centre_id data_centre;
};

/// @return all nodes of the plan in ascending order of their ids.
std::vector<subset_entry> subset_entries(const plan& current_plan);

/// Deals the targets of a service to all entries, so that the numbers of entries that use a target differ by
/// at most one. A subset of a service in several data centres has targets in at least two of them, and the
/// entry's own fills at most two thirds. A service with at most `max_subset_size` targets is used
/// in full.
/// @param service whose targets are dealt.
/// @param entries all entries in ascending order of their ids.
/// @param self the entry whose subset is wanted; need not be among the entries.
/// @param own_data_centre data centre of `self`.
/// @return indices into the targets of the service, ascending.
std::vector<std::size_t> choose_subset(const service_plan& service, const std::vector<subset_entry>& entries,
                                       const target_id& self, const data_centre_id& own_data_centre);

} // namespace cornelpier
