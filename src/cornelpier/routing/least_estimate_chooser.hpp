#pragma once

#include "cornelpier/routing/chooser.hpp"

namespace cornelpier {

/// Takes the candidate with the lowest estimate; ties are broken at random.
class least_estimate_chooser {
  public:
    /// @copydoc any_chooser::choose
    std::size_t choose(std::span<const candidate> candidates, random_source& random);
};

} // namespace cornelpier
