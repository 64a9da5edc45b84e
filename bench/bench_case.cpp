#include "bench/bench_case.hpp"

#include <chrono>
#include <memory>

namespace cornelpier::testing {

using namespace std::chrono_literals;

namespace {

constexpr duration report_age = 100ms;
constexpr duration slow_period = 50ms;
constexpr double slow_target_factor = 3;

void set_report_age(balanced_fleet& fleet, const deployment& config, duration age) {
    for (std::size_t n = 0; n < config.targets().size(); ++n) {
        fleet.server(n).set_report_age(age);
    }
}

/// Slows down one random target at a time, never the same one twice in a row.
void rotate_slow_target(balanced_fleet& fleet, std::size_t targets, std::size_t slow,
                        const std::shared_ptr<random_source>& random) {
    fleet.server(slow).set_slowdown(1);
    const auto next = (slow + 1 + random->below(targets - 1)) % targets;
    fleet.server(next).set_slowdown(slow_target_factor);
    fleet.queue().call_after(
        slow_period, [&fleet, targets, next, random] { rotate_slow_target(fleet, targets, next, random); });
}

void start_slow_target_rotation(balanced_fleet& fleet, const deployment& config,
                                const random_source& random) {
    rotate_slow_target(fleet, config.targets().size(), 0, std::make_shared<random_source>(random));
}

/// Slows the target down by a factor of 2 to 4 for 100 to 500 ms; the pauses average 1 s.
void schedule_interference(balanced_fleet& fleet, std::size_t target,
                           const std::shared_ptr<random_source>& random) {
    fleet.queue().call_after(from_seconds(random->exponential(1)), [&fleet, target, random] {
        fleet.server(target).set_slowdown(2 + 2 * random->unit());
        fleet.queue().call_after(from_seconds(0.1 + 0.4 * random->unit()), [&fleet, target, random] {
            fleet.server(target).set_slowdown(1);
            schedule_interference(fleet, target, random);
        });
    });
}

void start_interference(balanced_fleet& fleet, const deployment& config, random_source random) {
    for (std::size_t n = 0; n < config.targets().size(); ++n) {
        schedule_interference(fleet, n, std::make_shared<random_source>(random.split()));
    }
}

void restart_cold(balanced_fleet& fleet) {
    fleet.queue().call_at(time_point{warm_up + 5s}, [&fleet] { fleet.crash_vm(0); });
    fleet.queue().call_at(time_point{warm_up + 5500ms}, [&fleet] {
        fleet.restore_vm(0);
        fleet.server(0).cold_start(5, 5s);
    });
}

void crash_data_centre(balanced_fleet& fleet, const deployment& config) {
    const auto entries = config.entries();
    for (std::size_t n = 0; n < entries.size(); ++n) {
        if (entries[n].data_centre == entries[1].data_centre) {
            fleet.queue().call_at(time_point{warm_up + 5s}, [&fleet, n] { fleet.crash_vm(n); });
        }
    }
}

} // namespace

std::vector<bench_case> bench_cases() {
    using fleet_type = balanced_fleet;
    const auto with_reports = [](auto prepare) {
        return [prepare](fleet_type& fleet, const deployment& config, const random_source& random) {
            set_report_age(fleet, config, report_age);
            prepare(fleet, config, random);
        };
    };
    const auto slow_target = [](fleet_type& fleet, const auto&, const auto&) {
        fleet.server(0).set_slowdown(5);
    };
    const auto failing_target = [](fleet_type& fleet, const auto&, const auto&) {
        fleet.server(0).set_failing(true);
    };
    const auto cold_restart = [](fleet_type& fleet, const auto&, const auto&) { restart_cold(fleet); };
    const auto crashed_data_centre = [](fleet_type& fleet, const auto& config, const auto&) {
        crash_data_centre(fleet, config);
    };
    const auto stale_reports = [](fleet_type& fleet, const deployment& config, const random_source& random) {
        set_report_age(fleet, config, 1s);
        start_slow_target_rotation(fleet, config, random);
    };
    const auto zero_load_reports = [](fleet_type& fleet, const deployment& config,
                                      const random_source& random) {
        fleet.server(0).set_reporting_zero_load(true);
        start_slow_target_rotation(fleet, config, random);
    };
    const auto undisturbed = [](const auto&, const auto&, const auto&) {};

    // A load of 0.75 would exceed the remaining capacity when a target or a data centre is down.
    constexpr double reduced_load = 0.5;
    return {{"steady", 0.75, with_reports(undisturbed)},
            {"shifts", 0.75, with_reports(start_slow_target_rotation)},
            {"noisy_neighbour", 0.75, with_reports(start_interference)},
            {"slow_target", 0.75, with_reports(slow_target)},
            {"fast_failure", reduced_load, with_reports(failing_target)},
            {"cold_start", reduced_load, with_reports(cold_restart)},
            {"lagging_readings", 0.75, with_reports(stale_reports)},
            {"lying_readings", 0.75, with_reports(zero_load_reports)},
            {"overload", 0.75, with_reports(undisturbed), 1.5},
            {"data_centre_lost", reduced_load, with_reports(crashed_data_centre)}};
}

} // namespace cornelpier::testing
