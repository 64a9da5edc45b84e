#include "cornelpier/owner/fresh_report_gate.hpp"

#include <algorithm>

namespace cornelpier {

void fresh_report_gate::on_run(link_id link, const run& message) {
    // Before its first report nothing is known of the server, not even which of its processes runs.
    const bool decided_by_speed = !message.route.empty() && (m_state.slowness.is_known() || !m_reported);
    if (!decided_by_speed || m_state.slowness.is_fresh(m_state.now())) {
        m_admission.on_run(link, message);
        return;
    }
    m_waiting.push_back({link, message, m_state.now()});
    ask();
}

void fresh_report_gate::ask() {
    if (m_asked) {
        return;
    }
    if (!m_measurements.read_report_now()) {
        release();
        return;
    }
    m_asked = true;
    m_limit_timer.call_at(m_state.timers, m_state.now() + figure_limit, [this] { on_report(); });
}

void fresh_report_gate::on_report() {
    m_reported = true;
    m_asked = false;
    m_limit_timer.cancel();
    release();
}

void fresh_report_gate::release() {
    while (!m_waiting.empty()) {
        arrival next = std::move(m_waiting.front());
        m_waiting.pop_front();
        const duration waited = m_state.now() - next.at;
        next.message.remaining -= std::min(waited, next.message.remaining);
        next.message.objective -= waited;
        m_admission.on_run(next.link, next.message);
    }
}

bool fresh_report_gate::on_cancel(const attempt_id& attempt) {
    const auto it = std::ranges::find(m_waiting, attempt, [](const arrival& a) { return a.message.attempt; });
    if (it == m_waiting.end()) {
        return false;
    }
    answer refused;
    refused.attempt = attempt;
    refused.outcome = verdict::not_run;
    refused.reason = refusal::cancelled;
    const link_id link = it->link;
    m_waiting.erase(it);
    m_state.deliver(link, std::move(refused));
    return true;
}

void fresh_report_gate::on_link_closed(link_id link) {
    std::erase_if(m_waiting, [link](const arrival& it) { return it.link == link; });
}

} // namespace cornelpier
