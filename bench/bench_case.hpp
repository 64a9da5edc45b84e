#pragma once

#include "cornelpier/base/random_source.hpp"

#include "bench/balanced_fleet.hpp"

#include <functional>
#include <string>
#include <vector>

namespace cornelpier::testing {

/// One benchmark workload: the offered load and the faults injected.
struct bench_case {
    std::string name;
    double load = 0.75; ///< Fraction of the capacity of all slots at normal speed.
    std::function<void(balanced_fleet&, const deployment&, random_source)>
        prepare;             ///< Called at the start of a run.
    double initial_load = 0; ///< Load in the first 5 s of the measurement window; 0: same as `load`.
};

/// Runs before the measurement window until slow start has ended and the averages are stable.
inline constexpr duration warm_up{std::chrono::seconds{12}};

/// Only calls sent in this period after the warm-up are evaluated.
inline constexpr duration measurement_window{std::chrono::seconds{20}};

std::vector<bench_case> bench_cases();

} // namespace cornelpier::testing
