#pragma once

#include "cornelpier/base/ids.hpp"
#include "cornelpier/plan/plan.hpp"

#include <cstddef>
#include <vector>

namespace cornelpier {

/// Maximum number of targets per service that an entry uses.
inline constexpr std::size_t max_subset_size = 12;

/// Node that may act as an entry.
struct subset_entry {
    target_id id;
    data_centre_id data_centre;
};

/// @return all nodes of the plan in ascending order of their ids.
std::vector<subset_entry> subset_entries(const plan& current_plan);

/// Assigns the targets of a service to all entries, so that the numbers of entries that use a target differ
/// by at most one. If the service spans several data centres, each subset has targets in at least two of
/// them, and at most two thirds of it are in the data centre of the entry. A service with at most
/// `max_subset_size` targets is used in full.
/// @param service service whose targets are assigned.
/// @param entries all entries in ascending order of their ids.
/// @param self entry whose subset is returned; need not be in `entries`.
/// @param own_data_centre data centre of `self`.
/// @param evacuated data centres whose targets are not assigned; sorted.
/// @return indices into the targets of the service, ascending.
std::vector<std::size_t> choose_subset(const service_plan& service, const std::vector<subset_entry>& entries,
                                       const target_id& self, const data_centre_id& own_data_centre,
                                       const std::vector<data_centre_id>& evacuated = {});

} // namespace cornelpier
