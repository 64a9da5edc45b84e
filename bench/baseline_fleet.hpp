#pragma once

#include "cornelpier/base/random_source.hpp"

#include "bench/balanced_fleet.hpp"

#include <memory>
#include <string>
#include <vector>

namespace cornelpier::testing {

/// Balancing policy of a baseline.
enum class balancing_policy : std::uint8_t {
    random,
    round_robin,
    least_reported_load,
    two_choices_reported,
    two_choices_in_flight,
    perfect, ///< Uses the current load, slowdown and failure state of every server.
};

/// Entries that send each call once to the chosen server, without queueing, health checks, retries or
/// hedging.
class baseline_fleet : public balanced_fleet {
  public:
    baseline_fleet(const deployment& config, balancing_policy selected_policy, std::uint64_t seed);

    event_queue& queue() override { return m_queue; }
    fake_server& server(std::size_t target) override { return *m_servers[target]; }
    void call(std::size_t entry) override;
    void crash_vm(std::size_t entry) override;
    void restore_vm(std::size_t entry) override;
    std::vector<call_outcome> outcomes() override { return m_outcomes; }
    fleet_counts counts() override;

  private:
    std::size_t choose(std::size_t entry);
    std::size_t pick_best_of_two(const std::vector<double>& score);
    std::size_t pick_lowest_score(const std::vector<double>& score);
    [[nodiscard]] std::vector<double> scores(std::size_t entry) const;
    [[nodiscard]] double perfect_score(std::size_t entry, std::size_t target) const;
    [[nodiscard]] duration one_way_latency(std::size_t entry, std::size_t target) const;
    void deliver(std::size_t call, std::size_t entry, std::size_t target);
    void finish_call(std::size_t call, std::size_t entry, std::size_t target,
                     const fake_server::outcome& outcome);
    void time_out(std::size_t call, std::size_t target);

    deployment m_config;
    balancing_policy m_policy;
    random_source m_random;
    event_queue m_queue;
    std::vector<target_plan> m_entries;
    std::vector<std::unique_ptr<fake_server>> m_servers;
    std::vector<bool> m_down;                          ///< Per entry.
    std::vector<std::size_t> m_next_target;            ///< Round-robin position, per entry.
    std::vector<std::vector<std::size_t>> m_in_flight; ///< Per entry and target.
    std::vector<std::size_t> m_requests_in_transit;    ///< Per target.
    std::vector<call_outcome> m_outcomes;
    std::vector<bool> m_ended;
};

} // namespace cornelpier::testing
