#pragma once

#include "bench/balanced_fleet.hpp"
#include "tests/support/fleet.hpp"

namespace cornelpier::testing {

/// Runs the production decision core on every node (policy `ours`).
class core_fleet : public balanced_fleet {
  public:
    core_fleet(const deployment& config, std::uint64_t seed);

    event_queue& queue() override { return m_fleet.queue(); }
    fake_server& server(std::size_t target) override;
    void call(std::size_t entry) override;
    void crash_vm(std::size_t entry) override;
    void restore_vm(std::size_t entry) override;
    std::vector<call_outcome> outcomes() override;
    fleet_counts counts() override;

  private:
    deployment m_config;
    std::vector<target_plan> m_entries;
    fleet m_fleet;
    std::size_t m_calls = 0;
};

} // namespace cornelpier::testing
