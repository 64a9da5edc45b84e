#pragma once

#include "cornelpier/routing/balancing_policy.hpp"

#include <functional>
#include <utility>

namespace cornelpier {

/// Takes any candidate with equal probability.
class random_policy {
  public:
    /// @copydoc any_balancing_policy::choose
    std::size_t choose(std::span<const candidate> candidates, random_source& random);
};

/// Takes the candidates in turn.
class round_robin_policy {
  public:
    /// @copydoc any_balancing_policy::choose
    std::size_t choose(std::span<const candidate> candidates, random_source& random);

  private:
    std::size_t m_next = 0;
};

/// Takes the candidate with the fewest runs by its last reading.
class least_reported_load_policy {
  public:
    /// @copydoc any_balancing_policy::choose
    std::size_t choose(std::span<const candidate> candidates, random_source& random);
};

/// Draws two candidates and takes the one with fewer runs of this entry.
class two_choices_policy {
  public:
    /// @copydoc any_balancing_policy::choose
    std::size_t choose(std::span<const candidate> candidates, random_source& random);
};

/// Knows the true cost of each target, which only a simulation can provide.
class oracle_policy {
  public:
    /// Returns the true cost of sending a request to the target now.
    using cost_function = std::function<duration(const target_id&)>;

    explicit oracle_policy(cost_function cost) : m_cost(std::move(cost)) {}

    /// @copydoc any_balancing_policy::choose
    std::size_t choose(std::span<const candidate> candidates, random_source& random);

  private:
    cost_function m_cost;
};

} // namespace cornelpier
