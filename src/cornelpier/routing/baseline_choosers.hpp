#pragma once

#include "cornelpier/routing/chooser.hpp"

#include <functional>
#include <utility>

namespace cornelpier {

/// Takes any candidate with equal probability.
class random_chooser {
  public:
    /// @copydoc any_chooser::choose
    std::size_t choose(std::span<const candidate> candidates, random_source& random);
};

/// Takes the candidates in turn.
class round_robin_chooser {
  public:
    /// @copydoc any_chooser::choose
    std::size_t choose(std::span<const candidate> candidates, random_source& random);

  private:
    std::size_t m_next = 0;
};

/// Takes the candidate with the fewest runs by its last reading.
class least_reported_chooser {
  public:
    /// @copydoc any_chooser::choose
    std::size_t choose(std::span<const candidate> candidates, random_source& random);
};

/// Draws two candidates and takes the one with fewer runs of this entry.
class better_of_two_chooser {
  public:
    /// @copydoc any_chooser::choose
    std::size_t choose(std::span<const candidate> candidates, random_source& random);
};

/// Knows the true cost of each target, which only a simulation can provide.
class perfect_knowledge_chooser {
  public:
    /// Returns the true cost of sending a request to the target now.
    using oracle = std::function<duration(const target_id&)>;

    explicit perfect_knowledge_chooser(oracle cost) : m_cost(std::move(cost)) {}

    /// @copydoc any_chooser::choose
    std::size_t choose(std::span<const candidate> candidates, random_source& random);

  private:
    oracle m_cost;
};

} // namespace cornelpier
