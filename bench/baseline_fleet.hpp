#pragma once

#include "cornelpier/base/random_source.hpp"

#include "bench/balanced_fleet.hpp"

#include <memory>
#include <string>
#include <vector>

namespace cornelpier::testing {

/// How a baseline chooses a target.
enum class policy : std::uint8_t {
    random,
    round_robin,
    least_reported_load,
    two_choices_reported,
    two_choices_in_flight,
    perfect, ///< Knows load, slow-down and failure of every server at the moment of the choice.
};

/// Entries that send each call once to the chosen server, without queue, health, retry or hedge.
class baseline_fleet : public balanced_fleet {
  public:
    baseline_fleet(const deployment& where, policy rule, std::uint64_t seed);

    event_queue& queue() override { return m_queue; }
    fake_server& server(std::size_t target) override { return *m_servers[target]; }
    void call(std::size_t entry) override;
    void lose(std::size_t entry) override;
    void restore(std::size_t entry) override;
    std::vector<call_outcome> outcomes() override { return m_outcomes; }
    fleet_counts counts() override;

  private:
    std::size_t choose(std::size_t entry);
    std::size_t better_of_two(const std::vector<double>& score);
    std::size_t least(const std::vector<double>& score);
    [[nodiscard]] std::vector<double> scores(std::size_t entry) const;
    [[nodiscard]] double perfect_score(std::size_t entry, std::size_t target) const;
    [[nodiscard]] duration distance(std::size_t entry, std::size_t target) const;
    void arrive(std::size_t call, std::size_t entry, std::size_t target);
    void end(std::size_t call, std::size_t entry, std::size_t target, const fake_server::outcome& outcome);
    void time_out(std::size_t call, std::size_t target);

    deployment m_where;
    policy m_policy;
    random_source m_random;
    event_queue m_queue;
    std::vector<target_plan> m_entries;
    std::vector<std::unique_ptr<fake_server>> m_servers;
    std::vector<bool> m_lost;                          ///< Per entry.
    std::vector<std::size_t> m_next;                   ///< Round robin, per entry.
    std::vector<std::vector<std::size_t>> m_in_flight; ///< Per entry and target.
    std::vector<std::size_t> m_on_the_way;             ///< Per target.
    std::vector<call_outcome> m_outcomes;
    std::vector<bool> m_ended;
};

} // namespace cornelpier::testing
