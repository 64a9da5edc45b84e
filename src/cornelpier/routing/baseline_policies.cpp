#include "cornelpier/routing/baseline_policies.hpp"

#include "cornelpier/routing/lowest_index.hpp"

namespace cornelpier {

// NOLINTBEGIN(readability-convert-member-functions-to-static): required by the concept.

std::size_t random_policy::choose(std::span<const candidate> candidates, random_source& random) {
    return random.below(candidates.size());
}

std::size_t round_robin_policy::choose(std::span<const candidate> candidates, random_source& /*random*/) {
    return m_next++ % candidates.size();
}

std::size_t least_reported_load_policy::choose(std::span<const candidate> candidates, random_source& random) {
    return lowest_index(candidates, random, [](const candidate& it) { return it.reported_load; });
}

std::size_t two_choices_policy::choose(std::span<const candidate> candidates, random_source& random) {
    if (candidates.size() == 1) {
        return 0;
    }
    const std::size_t first = random.below(candidates.size());
    const std::size_t step = 1 + random.below(candidates.size() - 1);
    const std::size_t second = (first + step) % candidates.size();
    return candidates[second].own_in_flight < candidates[first].own_in_flight ? second : first;
}

std::size_t oracle_policy::choose(std::span<const candidate> candidates, random_source& random) {
    return lowest_index(candidates, random, [this](const candidate& it) { return m_cost(*it.target); });
}

// NOLINTEND(readability-convert-member-functions-to-static)

} // namespace cornelpier
