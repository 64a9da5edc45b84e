#include "bench/bench_case.hpp"

#include <chrono>
#include <memory>

namespace cornelpier::testing {

using namespace std::chrono_literals;

namespace {

constexpr duration report_age = 100ms;
constexpr duration shift_length = 50ms;
constexpr double shift_factor = 3;

void set_report_age(balanced_fleet& fleet, const deployment& where, duration age) {
    for (std::size_t n = 0; n < where.targets().size(); ++n) {
        fleet.server(n).set_report_age(age);
    }
}

/// One target after the other is slow; never the same twice in a row.
void shift(balanced_fleet& fleet, std::size_t targets, std::size_t slow,
           const std::shared_ptr<random_source>& random) {
    fleet.server(slow).set_slowdown(1);
    const auto next = (slow + 1 + random->below(targets - 1)) % targets;
    fleet.server(next).set_slowdown(shift_factor);
    fleet.queue().call_after(shift_length,
                             [&fleet, targets, next, random] { shift(fleet, targets, next, random); });
}

void start_shifts(balanced_fleet& fleet, const deployment& where, const random_source& random) {
    shift(fleet, where.targets().size(), 0, std::make_shared<random_source>(random));
}

/// Each target is slowed 2 to 4 times for 100 to 500 ms, once a second on average.
void disturb(balanced_fleet& fleet, std::size_t target, const std::shared_ptr<random_source>& random) {
    fleet.queue().call_after(from_seconds(random->exponential(1)), [&fleet, target, random] {
        fleet.server(target).set_slowdown(2 + 2 * random->unit());
        fleet.queue().call_after(from_seconds(0.1 + 0.4 * random->unit()), [&fleet, target, random] {
            fleet.server(target).set_slowdown(1);
            disturb(fleet, target, random);
        });
    });
}

void start_noise(balanced_fleet& fleet, const deployment& where, random_source random) {
    for (std::size_t n = 0; n < where.targets().size(); ++n) {
        disturb(fleet, n, std::make_shared<random_source>(random.split()));
    }
}

void restart_cold(balanced_fleet& fleet) {
    fleet.queue().call_at(time_point{warm_up + 5s}, [&fleet] { fleet.lose(0); });
    fleet.queue().call_at(time_point{warm_up + 5500ms}, [&fleet] {
        fleet.restore(0);
        fleet.server(0).cold_start(5, 5s);
    });
}

void lose_data_centre(balanced_fleet& fleet, const deployment& where) {
    const auto entries = where.entries();
    for (std::size_t n = 0; n < entries.size(); ++n) {
        if (entries[n].data_centre == entries[1].data_centre) {
            fleet.queue().call_at(time_point{warm_up + 5s}, [&fleet, n] { fleet.lose(n); });
        }
    }
}

} // namespace

std::vector<bench_case> bench_cases() {
    using fleet_type = balanced_fleet;
    const auto with_reports = [](auto more) {
        return [more](fleet_type& fleet, const deployment& where, const random_source& random) {
            set_report_age(fleet, where, report_age);
            more(fleet, where, random);
        };
    };
    const auto slow = [](fleet_type& fleet, const auto&, const auto&) { fleet.server(0).set_slowdown(5); };
    const auto fail = [](fleet_type& fleet, const auto&, const auto&) { fleet.server(0).set_failing(true); };
    const auto cold = [](fleet_type& fleet, const auto&, const auto&) { restart_cold(fleet); };
    const auto lost = [](fleet_type& fleet, const auto& where, const auto&) {
        lose_data_centre(fleet, where);
    };
    const auto lag = [](fleet_type& fleet, const deployment& where, const random_source& random) {
        set_report_age(fleet, where, 1s);
        start_shifts(fleet, where, random);
    };
    const auto lie = [](fleet_type& fleet, const deployment& where, const random_source& random) {
        fleet.server(0).set_reporting_zero_load(true);
        start_shifts(fleet, where, random);
    };
    const auto nothing = [](const auto&, const auto&, const auto&) {};

    // Without a target or a data centre, the load of 0.75 would exceed what is left.
    constexpr double reduced_load = 0.5;
    return {{"steady", 0.75, with_reports(nothing)},
            {"shifts", 0.75, with_reports(start_shifts)},
            {"noisy_neighbour", 0.75, with_reports(start_noise)},
            {"slow_target", 0.75, with_reports(slow)},
            {"fast_failure", reduced_load, with_reports(fail)},
            {"cold_start", reduced_load, with_reports(cold)},
            {"lagging_readings", 0.75, with_reports(lag)},
            {"lying_readings", 0.75, with_reports(lie)},
            {"overload", 0.75, with_reports(nothing), 1.5},
            {"data_centre_lost", reduced_load, with_reports(lost)}};
}

} // namespace cornelpier::testing
