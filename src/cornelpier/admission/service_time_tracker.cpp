#include "cornelpier/admission/service_time_tracker.hpp"

#include <algorithm>

namespace cornelpier {

namespace {

constexpr double average_sample_weight = 0.1;

/// The baseline rises slowly, so that queueing does not become the norm, and falls faster, so that a slow
/// phase after the start is forgotten.
constexpr double baseline_increase_weight = 0.005;
constexpr double baseline_decrease_weight = 0.02;

} // namespace

void service_time_tracker::add_completed(duration took, bool error) {
    if (error && (!m_has_samples || took <= average())) {
        return;
    }
    add(static_cast<double>(took.count()));
}

void service_time_tracker::add_incomplete(duration age) {
    const auto microseconds = static_cast<double>(age.count());
    if (!m_has_samples || microseconds > m_average_us) {
        add(microseconds);
    }
}

void service_time_tracker::add(double microseconds) {
    if (!m_has_samples) {
        m_has_samples = true;
        m_average_us = microseconds;
        m_baseline_us = microseconds;
        return;
    }
    m_average_us += average_sample_weight * (microseconds - m_average_us);
    const double weight = m_average_us > m_baseline_us ? baseline_increase_weight : baseline_decrease_weight;
    m_baseline_us += weight * (m_average_us - m_baseline_us);
}

duration service_time_tracker::average() const {
    return duration{static_cast<duration::rep>(m_average_us)};
}

duration service_time_tracker::baseline() const {
    return duration{static_cast<duration::rep>(m_baseline_us)};
}

} // namespace cornelpier
