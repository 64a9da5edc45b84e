#include "cornelpier/owner/measurement_scheduler.hpp"

#include <algorithm>
#include <cmath>

namespace cornelpier {

namespace {

constexpr double report_share = 0.5;
constexpr double max_reports_per_second = 2;

/// A burst of probes would otherwise spend the second in which the reports are due. A budget that allows one
/// measurement at a time cannot be divided.
rate probe_share(double per_second) {
    const double whole = std::floor(per_second);
    if (whole < 2) {
        return {per_second};
    }
    return {whole - std::min(max_reports_per_second, std::floor(whole * report_share))};
}

} // namespace

void measurement_scheduler::set_rate(rate limit) {
    if (limit.per_second == m_per_second) {
        return;
    }
    m_per_second = limit.per_second;
    m_budget.set_rate(limit);
    m_probe_budget.set_rate(probe_share(limit.per_second));
    m_report_due = false;
    m_timer.cancel();

    if (!m_budget.next_available(m_state.now())) {
        return;
    }
    m_period = from_seconds(1 / std::min(max_reports_per_second, report_share * m_per_second));
    schedule(m_last_report ? std::max(m_state.now(), *m_last_report + m_period) : m_state.now());
}

void measurement_scheduler::schedule(time_point due) {
    m_timer.call_at(m_state.timers, due, [this] { read_report(); });
}

void measurement_scheduler::read_report() {
    if (m_state.lifecycle.state() == node_state::stopped || m_state.service() == nullptr) {
        return;
    }
    const time_point now = m_state.now();
    if (!m_budget.try_take(now)) {
        m_report_due = true;
        schedule(*m_budget.next_available(now));
        return;
    }
    m_report_due = false;
    m_last_report = now;
    ask_server();
    schedule(now + m_period);
}

bool measurement_scheduler::read_report_now() {
    if (m_state.service() == nullptr || !m_budget.try_take(m_state.now())) {
        return false;
    }
    ask_server();
    return true;
}

void measurement_scheduler::ask_server() {
    m_state.outbox.count(metric::measurement);
    m_state.outbox.act(read_server_report{m_state.service()->report_path});
}

bool measurement_scheduler::probe_fits() const {
    const time_point now = m_state.now();
    return !m_report_due && m_budget.next_available(now) == now && m_probe_budget.next_available(now) == now;
}

bool measurement_scheduler::admit_probe() {
    if (!probe_fits()) {
        m_state.outbox.record_throttled(event_number::measuring_budget_exhausted, {});
        return false;
    }
    m_budget.try_take(m_state.now());
    m_probe_budget.try_take(m_state.now());
    m_state.outbox.count(metric::measurement);
    return true;
}

} // namespace cornelpier
