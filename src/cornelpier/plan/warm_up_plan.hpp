#pragma once

#include "cornelpier/base/units.hpp"

namespace cornelpier {

/// Longest warm-up and longest remaining time that a plan or a server may state.
inline constexpr duration max_warm_up_length = std::chrono::minutes{10};

/// Highest warm-up rate that a plan may state, per second.
inline constexpr double max_warm_up_rate = 1e6;

/// Rate that the servers of a service accept until they are warm.
struct warm_up_plan {
    duration length{}; ///< Time from the start of a server until it is warm.
    rate limit{};      ///< Requests that a cold server accepts from all callers together.

    friend bool operator==(const warm_up_plan&, const warm_up_plan&) = default;
};

} // namespace cornelpier
