#pragma once

#include "cornelpier/routing/balancing_policy.hpp"

namespace cornelpier {

/// Chooses the candidate with the lowest estimate; ties are broken at random.
class least_estimate_policy {
  public:
    /// @copydoc any_balancing_policy::choose
    std::size_t choose(std::span<const candidate> candidates, random_source& random);
};

} // namespace cornelpier
