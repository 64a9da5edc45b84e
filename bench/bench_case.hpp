#pragma once

#include "cornelpier/base/random_source.hpp"

#include "bench/balanced_fleet.hpp"

#include <functional>
#include <string>
#include <vector>

namespace cornelpier::testing {

/// One measured situation.
struct bench_case {
    std::string name;
    double load = 0.75; ///< Share of the capacity of all slots at normal speed.
    std::function<void(balanced_fleet&, const deployment&, random_source)> prepare; ///< Runs at the start.
    double initial_load = 0; ///< Load of the first 5 s of the window; 0: as later.
};

/// Before the window, so that slow start and averages have settled.
inline constexpr duration warm_up{std::chrono::seconds{12}};

/// Measured part of a run.
inline constexpr duration measurement_window{std::chrono::seconds{20}};

/// @return all cases.
std::vector<bench_case> bench_cases();

} // namespace cornelpier::testing
