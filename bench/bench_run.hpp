#pragma once

#include "bench/bench_case.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cornelpier::testing {

/// Results of one policy in one case; `add` pools the results of several seeds.
struct bench_figures {
    std::vector<duration> latencies; ///< Of calls with verdict `ran`.
    std::size_t calls = 0;
    std::size_t refused = 0;
    std::size_t unknown = 0;
    double retries = 0;
    double hedges = 0;
    double rechoices = 0;
    double measurements = 0;                      ///< In the measurement window, summed over all targets.
    std::size_t peak_measurements_per_second = 0; ///< Maximum of one target in any period of 1 s.
    std::size_t runs = 0;

    void add(const bench_figures& other);
};

/// @return the policy names; `ours` (the decision core) is last.
std::vector<std::string> policy_names();

/// Runs one policy in one case. Deterministic: the same arguments give the same results.
bench_figures run_bench(const deployment& config, const bench_case& workload, std::string_view policy_name,
                        std::uint64_t seed);

/// @return the results as one line of JSON.
std::string to_json(const deployment& config, const bench_case& workload, const std::string& policy_name,
                    const std::string& seeds, bench_figures figures);

} // namespace cornelpier::testing
