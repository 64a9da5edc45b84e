#include "bench/bench_run.hpp"

#include <CLI/CLI.hpp>

#include <algorithm>
#include <atomic>
#include <future>
#include <iostream>
#include <map>
#include <string>
#include <vector>

using namespace cornelpier::testing;

namespace {

constexpr std::size_t worker_count = 4;

/// Seeds for reported results; seeds 1 to 5 are used for tuning.
const std::vector<std::uint64_t> reported_seeds{101, 102, 103, 104, 105};

struct bench_job {
    deployment config;
    bench_case workload;
    std::string policy_name;
};

/// Runs a job with all seeds and pools the results into one line of JSON.
std::string measure(const bench_job& job, const std::vector<std::uint64_t>& seeds) {
    bench_figures sum;
    for (const auto seed : seeds) {
        sum.add(run_bench(job.config, job.workload, job.policy_name, seed));
    }
    auto range = std::to_string(seeds.front());
    range += seeds.size() > 1 ? "-" + std::to_string(seeds.back()) : "";
    return to_json(job.config, job.workload, job.policy_name, range, std::move(sum));
}

bool matches_filter(const std::string& wanted, const std::string& name) {
    return wanted.empty() || wanted == name;
}

/// Disables one mechanism of policy `ours`.
/// @return false if the mechanism is unknown.
bool disable_mechanism(const std::string& mechanism, cornelpier::traffic_options& options) {
    const std::map<std::string, bool*> switches{
        {"conditional_admission", &options.entry.conditional_admission},
        {"probes", &options.entry.probes},
        {"hedging", &options.entry.hedging},
        {"slow_start", &options.entry.slow_start},
        {"ejection", &options.entry.ejection},
        {"adaptive_limit", &options.owner.adaptive_limit}};
    const auto it = switches.find(mechanism);
    if (it == switches.end()) {
        return false;
    }
    *it->second = false;
    return true;
}

} // namespace

int main(int argc, char** argv) {
    CLI::App app{"Benchmarks balancing policies in virtual time; prints one JSON line per deployment, case "
                 "and policy"};
    std::string case_name;
    std::string policy_name;
    std::string deployment_name;
    std::vector<std::uint64_t> seeds = reported_seeds;
    app.add_option("--case", case_name, "run only this case");
    app.add_option("--policy", policy_name, "run only this policy");
    app.add_option("--deployment", deployment_name, "run only this deployment");
    app.add_option("--seed", seeds, "random seeds; results are pooled over all of them (default 101 to 105)");
    double service_ms = 20;
    std::vector<std::string> without;
    app.add_option("--service-ms", service_ms, "mean service time in ms (default 20)")
        ->check(CLI::PositiveNumber);
    app.add_option("--without", without, "mechanisms of policy 'ours' to disable");
    CLI11_PARSE(app, argc, argv);

    std::vector<bench_job> jobs;
    for (auto config : deployments()) {
        config.server.mean_service_time = cornelpier::from_seconds(service_ms / 1000);
        for (const auto& it : without) {
            if (!disable_mechanism(it, config.options)) {
                std::cerr << "unknown mechanism: " << it << '\n';
                return 2;
            }
        }
        for (const auto& workload : bench_cases()) {
            for (const auto& name : policy_names()) {
                if (matches_filter(deployment_name, config.name) &&
                    matches_filter(case_name, workload.name) && matches_filter(policy_name, name)) {
                    jobs.push_back({config, workload, name});
                }
            }
        }
    }
    if (jobs.empty()) {
        std::cerr << "no benchmark matches --case, --policy and --deployment\n";
        return 2;
    }

    std::vector<std::promise<std::string>> results(jobs.size());
    std::atomic<std::size_t> next = 0;
    std::vector<std::future<void>> running;
    for (std::size_t n = 0; n < worker_count; ++n) {
        running.push_back(std::async(std::launch::async, [&] {
            for (auto it = next++; it < jobs.size(); it = next++) {
                results[it].set_value(measure(jobs[it], seeds));
            }
        }));
    }
    for (auto& it : results) {
        std::cout << it.get_future().get() << std::endl;
    }
    return 0;
}
