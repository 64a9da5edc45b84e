#pragma once

#include "cornelpier/base/random_source.hpp"

#include "tests/support/fleet.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cornelpier::testing {

/// Result of a schedule.
struct schedule_result {
    std::vector<std::string> violations;
    std::vector<std::string> failures; ///< Injected failures with their periods.
    std::size_t calls = 0;
    std::size_t ran = 0;
    std::size_t not_run = 0;
    std::size_t unknown = 0;
};

/// Alters the actions of a node before their execution, to simulate a fault of the core.
using fault_injector = std::function<void(node_index, traffic_actions&)>;

/// Runs a small fleet under random calls and failures, all derived from the seed.
class random_schedule {
  public:
    explicit random_schedule(std::uint64_t seed, fault_injector inject_fault = {},
                             std::function<void(const std::string&)> transcript_sink = {});

    schedule_result run();

  private:
    struct failure_kind {
        const char* name;
        void (random_schedule::*inject)(time_point from, time_point until);
    };

    static const std::vector<failure_kind>& failure_kinds();

    void make_fleet(fault_injector inject_fault, std::function<void(const std::string&)> transcript_sink);
    void schedule_calls();
    void schedule_call(time_point time, std::size_t number);
    void schedule_failures();
    void inject(const failure_kind& kind, time_point from);

    void inject_kill(time_point from, time_point until);
    void inject_vanish(time_point from, time_point until);
    void inject_pause(time_point from, time_point until);
    void inject_terminate(time_point from, time_point until);
    void inject_partition(time_point from, time_point until);
    void inject_isolation(time_point from, time_point until);
    void inject_data_centre_partition(time_point from, time_point until);
    void inject_silent_links(time_point from, time_point until);
    void inject_broken_links(time_point from, time_point until);
    void inject_slow_server(time_point from, time_point until);
    void inject_hanging_server(time_point from, time_point until);
    void inject_failing_server(time_point from, time_point until);
    void inject_shedding_server(time_point from, time_point until);
    void inject_server_down(time_point from, time_point until);
    void inject_dropped_responses(time_point from, time_point until);
    void inject_false_report(time_point from, time_point until);
    void inject_server_drain(time_point from, time_point until);
    void inject_leaving_vm(time_point from, time_point until);
    void inject_plan_change(time_point from, time_point until);

    /// Schedules the begin of a failure at `from` and its end at `until`.
    void schedule_change(time_point from, std::function<void()> begin, time_point until,
                         std::function<void()> end);

    [[nodiscard]] target_id random_target();
    [[nodiscard]] duration random_duration(duration min, duration max);
    [[nodiscard]] bool random_bool(double probability) { return m_random.unit() < probability; }

    random_source m_random;
    std::uint64_t m_seed;
    std::unique_ptr<fleet> m_fleet;
    schedule_result m_result;
};

} // namespace cornelpier::testing
