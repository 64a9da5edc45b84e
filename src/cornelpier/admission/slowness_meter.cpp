#include "cornelpier/admission/slowness_meter.hpp"

#include <algorithm>

namespace cornelpier {

namespace {

/// A slowdown that has lasted long is expected to continue for this fraction of the time that it has lasted.
constexpr double remaining_share = 0.5;

/// Slowness below this is variance.
constexpr double min_slowness = 1.05;

/// Upper bound of the warm-up time of a new server process; the platforms known so far state 3 s.
constexpr duration max_warm_up = std::chrono::seconds{10};

/// Higher slowness is transient, even if a new server process has not reported a lower one yet.
constexpr double max_sustained_slowness = 3;

duration expected_remaining(duration lasted) {
    return std::max(mean_slowdown_remaining, scale(lasted, remaining_share));
}

} // namespace

void slowness_meter::on_report(double slowness, time_point now) {
    const double before = m_slowness;
    m_slowness = std::max(slowness, 1.0);
    m_lowest_since_restart = std::min(m_lowest_since_restart, m_slowness);
    if (m_slowness > min_slowness && before <= min_slowness) {
        m_slow_since = now;
    }
    const double sustained = sustained_slowness(now) * min_slowness;
    if (m_slowness > sustained && before <= sustained) {
        m_transient_since = now;
    }
    m_known = true;
    m_reported_at = now;
}

void slowness_meter::on_new_server(time_point now) {
    m_lowest_since_restart = std::numeric_limits<double>::infinity();
    m_warm_at = now + max_warm_up;
}

duration slowness_meter::expected_delay(duration work, time_point now) const {
    if (m_slowness <= min_slowness) {
        return duration::zero();
    }
    return std::min(scale(work, m_slowness - 1), expected_remaining(now - m_slow_since));
}

bool slowness_meter::should_defer(duration work, time_point now) const {
    const double sustained = sustained_slowness(now);
    return m_slowness > sustained * min_slowness &&
           expected_remaining(now - m_transient_since) < scale(work, m_slowness - sustained);
}

double slowness_meter::sustained_slowness(time_point now) const {
    return now < m_warm_at ? std::min(m_lowest_since_restart, max_sustained_slowness) : 1;
}

} // namespace cornelpier
