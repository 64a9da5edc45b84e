#include "cornelpier/admission/route_work_table.hpp"

#include <algorithm>

namespace cornelpier {

namespace {

/// Weight of a run in the moving average.
constexpr double sample_weight = 0.1;

/// A run counts for at most this multiple of the average, so that one stuck run does not distort it.
constexpr double max_outlier_ratio = 3;

/// Operators set objectives to two to four times the usual service time.
constexpr double default_work_objective_ratio = 0.35;

void update_average(double& average, double sample) {
    if (average <= 0) {
        average = sample;
        return;
    }
    average += sample_weight * (std::min(sample, average * max_outlier_ratio) - average);
}

} // namespace

void route_work_table::add(const std::string& route, duration took, double slowness) {
    const double seconds = to_seconds(took) / std::max(slowness, 1.0);
    update_average(m_seconds[route], seconds);
    update_average(m_mean_seconds, seconds);
}

duration route_work_table::expected_work(const std::string& route, duration objective) const {
    const auto it = m_seconds.find(route);
    return from_seconds(it == m_seconds.end() ? to_seconds(objective) * default_work_objective_ratio
                                              : it->second);
}

} // namespace cornelpier
