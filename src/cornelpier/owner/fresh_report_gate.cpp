#include "cornelpier/owner/fresh_report_gate.hpp"

#include <algorithm>

namespace cornelpier {

void fresh_report_gate::on_run(link_id link, const run_request& message) {
    // Before the first report nothing is known about the server, not even which process is running.
    const bool depends_on_slowness =
        !message.route.empty() && (m_state.slowness.is_known() || !m_first_report_settled);
    // While the server's rate limit delays all runs, its slowness does not decide when they start, and a
    // report is one more request to a server that asks for fewer.
    const bool is_paced = m_state.pacer.wait(0, m_state.now()) > duration::zero();
    const bool needs_slowness = depends_on_slowness && !is_paced && !m_state.slowness.is_fresh(m_state.now());
    const bool needs_report = needs_slowness || m_state.warm_up.needs_report(m_state.now());
    // The server gets no requests for a run that is refused anyway.
    if (!needs_report || m_state.is_evacuated()) {
        m_admission.on_run(link, message);
        return;
    }
    m_waiting.push_back({link, message, m_state.now()});
    request_report();
}

void fresh_report_gate::request_report() {
    if (m_report_pending) {
        return;
    }
    if (!m_measurements.try_request_report()) {
        forward_waiting();
        return;
    }
    m_report_pending = true;
    m_report_timeout_timer.call_at(m_state.timers, m_state.now() + report_timeout, [this] { on_report(); });
}

void fresh_report_gate::on_report() {
    m_first_report_settled = true;
    m_report_pending = false;
    m_report_timeout_timer.cancel();
    forward_waiting();
}

void fresh_report_gate::forward_waiting() {
    while (!m_waiting.empty()) {
        waiting_run next = std::move(m_waiting.front());
        m_waiting.pop_front();
        const duration waited = m_state.now() - next.arrived_at;
        next.message.remaining -= std::min(waited, next.message.remaining);
        next.message.objective -= waited;
        m_admission.on_run(next.link, next.message);
    }
}

bool fresh_report_gate::on_cancel(const attempt_id& attempt) {
    const auto it =
        std::ranges::find(m_waiting, attempt, [](const waiting_run& a) { return a.message.attempt; });
    if (it == m_waiting.end()) {
        return false;
    }
    run_response refused;
    refused.attempt = attempt;
    refused.outcome = verdict::not_run;
    refused.reason = refusal::cancelled;
    const link_id link = it->link;
    m_waiting.erase(it);
    m_state.send_answer(link, std::move(refused));
    return true;
}

void fresh_report_gate::on_link_closed(link_id link) {
    std::erase_if(m_waiting, [link](const waiting_run& it) { return it.link == link; });
}

} // namespace cornelpier
