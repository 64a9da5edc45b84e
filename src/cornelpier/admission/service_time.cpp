#include "cornelpier/admission/service_time.hpp"

#include <algorithm>

namespace cornelpier {

namespace {

constexpr double average_weight = 0.1;

/// The baseline follows a slower server slowly, so that queueing does not become the norm, and a faster one
/// quickly, so that a slow phase at the start is forgotten.
constexpr double baseline_up_weight = 0.005;
constexpr double baseline_down_weight = 0.02;

} // namespace

void service_time::add_completed(duration took, bool error) {
    if (error && (!m_known || took <= average())) {
        return;
    }
    add(static_cast<double>(took.count()));
}

void service_time::add_incomplete(duration age) {
    const auto microseconds = static_cast<double>(age.count());
    if (!m_known || microseconds > m_average) {
        add(microseconds);
    }
}

void service_time::add(double microseconds) {
    if (!m_known) {
        m_known = true;
        m_average = microseconds;
        m_baseline = microseconds;
        return;
    }
    m_average += average_weight * (microseconds - m_average);
    const double weight = m_average > m_baseline ? baseline_up_weight : baseline_down_weight;
    m_baseline += weight * (m_average - m_baseline);
}

duration service_time::average() const {
    return duration{static_cast<duration::rep>(m_average)};
}

duration service_time::baseline() const {
    return duration{static_cast<duration::rep>(m_baseline)};
}

} // namespace cornelpier
