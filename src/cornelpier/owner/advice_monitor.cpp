#include "cornelpier/owner/advice_monitor.hpp"

#include <utility>

namespace cornelpier {

namespace {

std::string rate_text(const std::optional<rate>& limit) {
    return limit ? to_text(*limit) : std::string{"none"};
}

std::string source_name(advice_source source) {
    return source == advice_source::run ? "run" : "report";
}

} // namespace

bool advice_monitor::on_advice(const server_advice& advice, advice_source source) {
    if (advice.malformed) {
        m_state.outbox.log_throttled(event_number::server_advice_malformed,
                                     {{"source", source_name(source)}});
    }
    const bool has_advice = advice.rate_limit || advice.leaving;
    if (source == advice_source::report) {
        m_reports_advise = m_reports_advise || has_advice;
        if (!m_reports_advise) {
            return false;
        }
    }
    m_state.advice_known = true;

    if (std::exchange(m_state.server_leaving, advice.leaving) != advice.leaving) {
        m_state.outbox.log(event_number::server_leaving,
                           {{"leaving", advice.leaving ? "1" : "0"}, {"source", source_name(source)}});
    }
    const std::optional<rate> limit_before = m_state.pacer.limit();
    if (limit_before == advice.rate_limit) {
        return false;
    }
    m_state.pacer.set_limit(advice.rate_limit, m_state.now());
    log_rate_limit(limit_before, source_name(source));
    return true;
}

void advice_monitor::on_instance(const std::string& instance) {
    if (instance.empty()) {
        return;
    }
    if (!m_instance.empty() && instance != m_instance) {
        forget();
    }
    m_instance = instance;
}

void advice_monitor::on_remembered_limit(const std::optional<rate>& limit) {
    // The limiter knows more than the entries about the rate of a cold server.
    if (m_state.advice_known || !limit || is_warm_up_rate(*limit)) {
        return;
    }
    const auto in_force = m_state.pacer.limit();
    if (!in_force || limit->per_second < in_force->per_second) {
        m_state.pacer.set_limit(limit, m_state.now());
        log_rate_limit(in_force, "entry");
    }
}

bool advice_monitor::is_warm_up_rate(rate limit) const {
    const service_plan* service = m_state.service();
    return service != nullptr && service->warm_up && service->warm_up->limit == limit;
}

void advice_monitor::forget() {
    m_reports_advise = false;
    m_state.server_leaving = false;
    // What entries remember concerns the process that was replaced.
    m_state.advice_known = true;
    m_state.pacer.reset();
}

void advice_monitor::log_rate_limit(const std::optional<rate>& before, const std::string& source) {
    const server_request_counts counts = m_state.server_requests;
    m_state.outbox.log(event_number::server_rate_limit_changed,
                       {{"rate", rate_text(m_state.pacer.limit())},
                        {"before", rate_text(before)},
                        {"source", source},
                        {"after_ms", milliseconds_text(m_state.now() - m_logged_at)},
                        {"runs", std::to_string(counts.runs - m_logged_counts.runs)},
                        {"reports", std::to_string(counts.reports - m_logged_counts.reports)}});
    m_logged_at = m_state.now();
    m_logged_counts = counts;
}

} // namespace cornelpier
