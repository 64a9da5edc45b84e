#include "cornelpier/owner/measurement_scheduler.hpp"

#include <algorithm>
#include <cmath>

namespace cornelpier {

namespace {

constexpr double report_budget_fraction = 0.5;
constexpr double max_reports_per_second = 2;

/// @return the part of the measuring budget that probes may use. Without this limit a burst of probes could
/// consume a whole second's budget while a report is due. A budget below 2 per second is not divided, because
/// it allows only one measurement at a time.
rate probe_rate(double per_second) {
    const double whole_rate = std::floor(per_second);
    if (whole_rate < 2) {
        return {per_second};
    }
    return {whole_rate - std::min(max_reports_per_second, std::floor(whole_rate * report_budget_fraction))};
}

} // namespace

void measurement_scheduler::set_rate(rate limit) {
    if (limit.per_second == m_per_second) {
        return;
    }
    m_per_second = limit.per_second;
    m_budget.set_rate(limit);
    m_probe_budget.set_rate(probe_rate(limit.per_second));
    m_report_awaits_budget = false;
    m_report_timer.cancel();

    if (!m_budget.next_available(m_state.now())) {
        return;
    }
    m_report_period =
        from_seconds(1 / std::min(max_reports_per_second, report_budget_fraction * m_per_second));
    schedule_report(m_last_report_at ? std::max(m_state.now(), *m_last_report_at + m_report_period)
                                     : m_state.now());
}

void measurement_scheduler::schedule_report(time_point due) {
    m_report_timer.call_at(m_state.timers, due, [this] { read_periodic_report(); });
}

void measurement_scheduler::read_periodic_report() {
    if (m_state.lifecycle.state() == node_state::stopped || m_state.service() == nullptr) {
        return;
    }
    const time_point now = m_state.now();
    if (!m_budget.try_take(now)) {
        m_report_awaits_budget = true;
        schedule_report(*m_budget.next_available(now));
        return;
    }
    m_report_awaits_budget = false;
    m_last_report_at = now;
    request_report();
    schedule_report(now + m_report_period);
}

bool measurement_scheduler::try_request_report() {
    if (m_state.service() == nullptr || !m_budget.try_take(m_state.now())) {
        return false;
    }
    request_report();
    return true;
}

void measurement_scheduler::request_report() {
    ++m_state.server_requests.reports;
    m_state.warm_up.on_report_requested();
    m_state.outbox.increment(metric::measurement);
    m_state.outbox.emit(read_server_report{m_state.service()->report_path});
}

bool measurement_scheduler::probe_within_budget() const {
    const time_point now = m_state.now();
    return !m_report_awaits_budget && m_budget.next_available(now) == now &&
           m_probe_budget.next_available(now) == now;
}

bool measurement_scheduler::admit_probe() {
    if (!probe_within_budget()) {
        m_state.outbox.log_throttled(event_number::measuring_budget_exhausted, {});
        return false;
    }
    m_budget.try_take(m_state.now());
    m_probe_budget.try_take(m_state.now());
    m_state.outbox.increment(metric::measurement);
    return true;
}

} // namespace cornelpier
