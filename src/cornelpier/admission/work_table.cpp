#include "cornelpier/admission/work_table.hpp"

#include <algorithm>

namespace cornelpier {

namespace {

/// Weight of a run in the moving average.
constexpr double run_weight = 0.1;

/// A run counts for at most this multiple of the average: one stuck run is no change of the work.
constexpr double outlier_factor = 3;

/// Operators set objectives at two to four times the usual time.
constexpr double share_of_objective = 0.35;

void smooth(double& average, double sample) {
    if (average <= 0) {
        average = sample;
        return;
    }
    average += run_weight * (std::min(sample, average * outlier_factor) - average);
}

} // namespace

void work_table::add(const std::string& route, duration took, double slowness) {
    const double seconds = to_seconds(took) / std::max(slowness, 1.0);
    smooth(m_seconds[route], seconds);
    smooth(m_mean_seconds, seconds);
}

duration work_table::of(const std::string& route, duration objective) const {
    const auto it = m_seconds.find(route);
    return from_seconds(it == m_seconds.end() ? to_seconds(objective) * share_of_objective : it->second);
}

} // namespace cornelpier
