#include "bench/bench_run.hpp"

#include "bench/baseline_fleet.hpp"
#include "bench/core_fleet.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <memory>

namespace cornelpier::testing {

using namespace std::chrono_literals;

namespace {

constexpr std::array baselines{
    "random", "round_robin", "least_reported_load", "two_choices_reported", "two_choices_in_flight",
    "perfect"};
constexpr duration initial_load_duration = 5s;
constexpr duration completion_period = 3s;

std::unique_ptr<balanced_fleet> make_fleet(const deployment& config, std::string_view name,
                                           std::uint64_t seed) {
    const auto it = std::ranges::find(baselines, name);
    if (it == baselines.end()) {
        return std::make_unique<core_fleet>(config, seed);
    }
    return std::make_unique<baseline_fleet>(config, static_cast<balancing_policy>(it - baselines.begin()),
                                            seed);
}

/// Generates calls as a Poisson process; each call goes to a random entry.
class poisson_arrivals {
  public:
    poisson_arrivals(balanced_fleet& fleet, const deployment& config, const bench_case& workload,
                     random_source random)
        : m_fleet(fleet), m_workload(workload), m_random(random), m_entries(config.entries().size()),
          m_capacity(static_cast<double>(config.targets().size() * config.server.slots) /
                     to_seconds(config.server.mean_service_time)) {}

    void schedule_next() {
        const time_point first{warm_up};
        const auto now = m_fleet.queue().now();
        const bool in_initial_load =
            m_workload.initial_load > 0 && now >= first && now < first + initial_load_duration;
        const auto rate = (in_initial_load ? m_workload.initial_load : m_workload.load) * m_capacity;
        m_fleet.queue().call_after(from_seconds(m_random.exponential(1 / rate)), [this] {
            if (m_fleet.queue().now() < time_point{warm_up + measurement_window}) {
                m_fleet.call(m_random.below(m_entries));
                schedule_next();
            }
        });
    }

  private:
    balanced_fleet& m_fleet;
    const bench_case& m_workload;
    random_source m_random;
    std::size_t m_entries;
    double m_capacity;
};

void count_calls(const std::vector<call_outcome>& outcomes, bench_figures& figures) {
    for (const auto& it : outcomes) {
        if (it.sent < time_point{warm_up}) {
            continue;
        }
        ++figures.calls;
        figures.refused += it.outcome == verdict::not_run ? 1 : 0;
        figures.unknown += it.outcome == verdict::unknown ? 1 : 0;
        if (it.outcome == verdict::ran) {
            figures.latencies.push_back(it.latency);
        }
    }
}

void count_measurements(const fleet_counts& counts, bench_figures& figures) {
    for (const auto& times : counts.measurements) {
        std::size_t first = 0;
        for (std::size_t n = 0; n < times.size(); ++n) {
            while (times[first] + 1s <= times[n]) {
                ++first;
            }
            figures.peak_measurements_per_second =
                std::max(figures.peak_measurements_per_second, n - first + 1);
            figures.measurements +=
                times[n] >= time_point{warm_up} && times[n] < time_point{warm_up + measurement_window};
        }
    }
}

double percentile_ms(const std::vector<duration>& sorted, double share) {
    if (sorted.empty()) {
        return 0;
    }
    const auto rank = std::ceil(share * static_cast<double>(sorted.size()));
    return static_cast<double>(sorted[static_cast<std::size_t>(rank) - 1].count()) / 1000;
}

double rounded(double value) {
    return std::round(value * 100) / 100;
}

} // namespace

void bench_figures::add(const bench_figures& other) {
    latencies.insert(latencies.end(), other.latencies.begin(), other.latencies.end());
    calls += other.calls;
    refused += other.refused;
    unknown += other.unknown;
    retries += other.retries;
    hedges += other.hedges;
    rechoices += other.rechoices;
    measurements += other.measurements;
    peak_measurements_per_second = std::max(peak_measurements_per_second, other.peak_measurements_per_second);
    runs += other.runs;
}

std::vector<std::string> policy_names() {
    std::vector<std::string> result{baselines.begin(), baselines.end()};
    result.emplace_back("ours");
    return result;
}

bench_figures run_bench(const deployment& config, const bench_case& workload, std::string_view policy_name,
                        std::uint64_t seed) {
    random_source random{seed};
    const auto fleet = make_fleet(config, policy_name, random.next());
    workload.prepare(*fleet, config, random.split());
    poisson_arrivals calls{*fleet, config, workload, random.split()};
    calls.schedule_next();

    fleet->queue().run_until(time_point{warm_up});
    const auto before = fleet->counts();
    fleet->queue().run_until(time_point{warm_up + measurement_window + completion_period});
    const auto after = fleet->counts();

    bench_figures result;
    result.runs = 1;
    result.retries = after.retries - before.retries;
    result.hedges = after.hedges - before.hedges;
    result.rechoices = after.rechoices - before.rechoices;
    count_calls(fleet->outcomes(), result);
    count_measurements(after, result);
    return result;
}

std::string to_json(const deployment& config, const bench_case& workload, const std::string& policy_name,
                    const std::string& seeds, bench_figures figures) {
    std::ranges::sort(figures.latencies);
    const auto seconds = static_cast<double>(figures.runs) * to_seconds(measurement_window);
    const auto server_seconds = seconds * static_cast<double>(config.targets().size());
    const nlohmann::ordered_json result{
        {"deployment", config.name},
        {"case", workload.name},
        {"policy", policy_name},
        {"seeds", seeds},
        {"service_ms", to_seconds(config.server.mean_service_time) * 1000},
        {"calls", figures.calls},
        {"p50_ms", rounded(percentile_ms(figures.latencies, 0.5))},
        {"p99_ms", rounded(percentile_ms(figures.latencies, 0.99))},
        {"p99_9_ms", rounded(percentile_ms(figures.latencies, 0.999))},
        {"ran_per_s", rounded(static_cast<double>(figures.latencies.size()) / seconds)},
        {"refused", figures.refused},
        {"unknown", figures.unknown},
        {"retries", figures.retries},
        {"hedges", figures.hedges},
        {"rechoices", figures.rechoices},
        {"measurements_per_server_s", rounded(figures.measurements / server_seconds)},
        {"most_measurements_in_1_s", figures.peak_measurements_per_second},
        {"measuring_budget", config.current_plan->find_service(config.service)->measuring.per_second}};
    return result.dump();
}

} // namespace cornelpier::testing
