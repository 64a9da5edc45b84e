#include "cornelpier/health/slow_start.hpp"

#include <algorithm>

namespace cornelpier {

namespace {

// Lower bound of the traffic share: without any traffic, a target could never warm up.
constexpr double min_share = 0.05;

} // namespace

double slow_start_share(duration age) {
    return std::clamp(to_seconds(age) / to_seconds(slow_start_window), min_share, 1.0);
}

} // namespace cornelpier
