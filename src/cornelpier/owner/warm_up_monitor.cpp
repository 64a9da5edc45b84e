#include "cornelpier/owner/warm_up_monitor.hpp"

#include <utility>

namespace cornelpier {

void warm_up_monitor::set_handlers(std::function<void()> on_changed, std::function<void()> request_report) {
    m_on_changed = std::move(on_changed);
    m_request_report = std::move(request_report);
}

void warm_up_monitor::on_view() {
    const service_plan* service = m_state.service();
    const auto plan = service != nullptr ? service->warm_up : std::nullopt;
    const bool reports_expected = service != nullptr && service->measuring.per_second > 0;
    m_state.warm_up.configure(plan, reports_expected, m_state.now());
    m_state.pacer.set_warm_up_rate(plan ? std::optional{plan->limit} : std::nullopt, m_state.now());
    apply_listed_process();
    update();
}

/// A process that answered this owner is newer than the directory, so that its name is no news.
void warm_up_monitor::apply_listed_process() {
    const target_plan* own = m_state.view->current_plan->find_target(m_state.identity.self);
    if (own == nullptr || own->instance == m_listed_instance) {
        return;
    }
    const bool is_replaced = !m_state.server_instance.empty() || !m_listed_instance.empty();
    m_listed_instance = own->instance;
    if (is_replaced && own->instance != m_state.server_instance && !own->instance.empty()) {
        on_possible_end(warm_up_cause::new_process);
    }
    m_state.warm_up.on_listed(own->warm_up_remaining, m_state.now());
}

void warm_up_monitor::on_report(const server_report& report) {
    if (report.warm_up_malformed) {
        m_state.outbox.log_throttled(event_number::warm_up_value_refused, {{"source", "report"}});
    }
    m_state.warm_up.on_report({report.warm_up_remaining, report.healthy, report.warm_up_malformed},
                              m_state.now());
    update();
}

void warm_up_monitor::on_report_failed() {
    m_state.warm_up.on_report_failed();
    update();
}

void warm_up_monitor::on_server_ended() {
    on_possible_end(warm_up_cause::server_ended);
}

void warm_up_monitor::on_misdirected() {
    on_possible_end(warm_up_cause::new_process);
}

void warm_up_monitor::on_possible_end(warm_up_cause cause) {
    m_state.warm_up.on_new_process(cause, m_state.now());
    update();
    if (m_was_cold) {
        m_request_report();
    }
}

void warm_up_monitor::update() {
    const time_point now = m_state.now();
    const bool cold = m_state.warm_up.is_cold(now);
    const auto ends_at = m_state.warm_up.ends_at();
    m_state.pacer.set_cold_until(cold ? ends_at.value_or(time_point::max()) : time_point::min(), now);
    m_confirm_timer.cancel();
    m_end_timer.cancel();
    if (cold && ends_at) {
        if (m_state.warm_up.confirm_at() > now) {
            m_confirm_timer.call_at(m_state.timers, m_state.warm_up.confirm_at(),
                                    [this] { m_request_report(); });
        }
        m_end_timer.call_at(m_state.timers, *ends_at, [this] { update(); });
    }
    if (std::exchange(m_was_cold, cold) != cold) {
        log_change();
        m_on_changed();
    }
}

void warm_up_monitor::log_change() const {
    const time_point now = m_state.now();
    const bool is_known = m_state.warm_up.ends_at().has_value();
    m_state.outbox.log(
        event_number::server_warm_up,
        {{"state", m_was_cold ? "began" : "ended"},
         {"cause", std::string{to_string(m_state.warm_up.cause())}},
         {"remaining_ms", is_known ? milliseconds_text(m_state.warm_up.remaining(now)) : "unknown"},
         {"rate", m_was_cold ? to_text(*m_state.warm_up.limit(now)) : "none"}});
}

} // namespace cornelpier
