#include "cornelpier/owner/advice_monitor.hpp"

#include <cstddef>
#include <string>
#include <utility>

namespace cornelpier {

namespace {

std::string rate_text(const std::optional<rate>& limit) {
    return limit ? to_text(*limit) : std::string{"none"};
}

} // namespace

void advice_monitor::on_advice(const server_advice& advice, advice_source source) {
    const std::string_view source_name = source == advice_source::run ? "run" : "report";
    if (advice.malformed) {
        m_state.outbox.log_throttled(event_number::server_advice_malformed,
                                     {{"source", std::string{source_name}}});
    }
    const server_advice before = std::exchange(m_last.at(static_cast<std::size_t>(source)), advice);
    m_rate_limit = advice.rate_limit;
    if (advice.rate_limit != before.rate_limit) {
        log_rate_limit(before.rate_limit, advice.rate_limit, source_name);
    }
    if (advice.leaving != before.leaving) {
        m_state.outbox.log(event_number::server_leaving,
                           {{"leaving", advice.leaving ? "1" : "0"}, {"source", std::string{source_name}}});
    }
}

void advice_monitor::log_rate_limit(const std::optional<rate>& before, const std::optional<rate>& after,
                                    std::string_view source) {
    const server_request_counts counts = m_state.server_requests;
    m_state.outbox.log(event_number::server_rate_limit_changed,
                       {{"rate", rate_text(after)},
                        {"before", rate_text(before)},
                        {"source", std::string{source}},
                        {"after_ms", milliseconds_text(m_state.now() - m_logged_at)},
                        {"runs", std::to_string(counts.runs - m_logged_counts.runs)},
                        {"reports", std::to_string(counts.reports - m_logged_counts.reports)}});
    m_logged_at = m_state.now();
    m_logged_counts = counts;
}

} // namespace cornelpier
