#include "cornelpier/routing/least_estimate_policy.hpp"

#include "cornelpier/routing/lowest_index.hpp"

namespace cornelpier {

// NOLINTNEXTLINE(readability-convert-member-functions-to-static): required by the concept.
std::size_t least_estimate_policy::choose(std::span<const candidate> candidates, random_source& random) {
    return lowest_index(candidates, random, [](const candidate& it) { return it.estimate; });
}

} // namespace cornelpier
