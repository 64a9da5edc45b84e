#pragma once

#include "cornelpier/routing/balancing_policy.hpp"

#include <functional>
#include <utility>

namespace cornelpier {

/// Chooses a candidate uniformly at random.
class random_policy {
  public:
    /// @copydoc any_balancing_policy::choose
    std::size_t choose(std::span<const candidate> candidates, random_source& random);
};

/// Chooses the candidates in round-robin order.
class round_robin_policy {
  public:
    /// @copydoc any_balancing_policy::choose
    std::size_t choose(std::span<const candidate> candidates, random_source& random);

  private:
    std::size_t m_next = 0;
};

/// Chooses the candidate with the lowest load in its last reading.
class least_reported_load_policy {
  public:
    /// @copydoc any_balancing_policy::choose
    std::size_t choose(std::span<const candidate> candidates, random_source& random);
};

/// Power of two choices: draws two candidates and chooses the one with fewer runs of this entry in flight.
class two_choices_policy {
  public:
    /// @copydoc any_balancing_policy::choose
    std::size_t choose(std::span<const candidate> candidates, random_source& random);
};

/// Chooses the candidate with the lowest true cost, which only a simulation can provide.
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
