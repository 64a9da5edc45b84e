#include "cornelpier/entry/health_reporter.hpp"

#include <chrono>
#include <span>

namespace cornelpier {

namespace {

constexpr int first_server_error = 500;

// Shorter timeouts are ignored: callers may set deadlines that no target can meet.
constexpr duration min_timeout = std::chrono::milliseconds{250};

event_number event_for(health_state state) {
    switch (state) {
    case health_state::healthy:
        return event_number::target_recovered;
    case health_state::ejected:
        return event_number::target_ejected;
    case health_state::trial:
        break;
    }
    return event_number::target_trial;
}

} // namespace

health_reporter::health_reporter(entry_context& context, health_table& health, service_table& services)
    : m_context(context), m_health(health), m_services(services) {}

void health_reporter::on_answer(const call_state& call, const attempt_state& attempt,
                                const run_response& reply) {
    if (const auto outcome = classify(call, reply)) {
        record_outcome(call.event.service, attempt.target, *outcome);
    }
}

void health_reporter::on_timeout(const call_state& call, const attempt_state& attempt) {
    if (m_context.now() - attempt.sent_at >= min_timeout) {
        record_outcome(call.event.service, attempt.target, health_outcome::failure);
    }
}

void health_reporter::on_link_lost(const target_id& target, link_loss cause) {
    if (m_context.view == nullptr || cause == link_loss::reset) {
        return;
    }
    if (const auto* service = m_context.view->current_plan->service_of(target)) {
        record_outcome(service->id, target, health_outcome::failure);
    }
}

void health_reporter::trial_sent(const target_id& target) {
    m_health.at(target, m_context.now()).trial_sent();
    m_context.log_event(event_number::target_trial, {{"target", target.value()}});
}

void health_reporter::trial_ended(const target_id& target) {
    m_health.at(target, m_context.now()).trial_abandoned();
}

void health_reporter::record_outcome(const service_id& service, const target_id& target,
                                     health_outcome outcome) {
    const auto* state = m_services.find(service);
    if (state == nullptr) {
        return;
    }
    // With an empty subset, no target is ejected.
    const std::span<const target_id> subset =
        m_context.options.ejection ? std::span<const target_id>{state->subset} : std::span<const target_id>{};
    const auto changed = m_health.on_outcome(target, outcome, subset, m_context.now());
    if (changed) {
        m_context.log_event(event_for(*changed), {{"target", target.value()}});
    }
}

/// Refusals for lack of capacity are not health outcomes; readings already report the load.
std::optional<health_outcome> health_reporter::classify(const call_state& call, const run_response& reply) {
    if (reply.reason == refusal::server_down || reply.reason == refusal::server_refused) {
        return health_outcome::fast_failure;
    }
    if (reply.reason != refusal::none) {
        return std::nullopt;
    }
    if (reply.outcome == verdict::ran && (!reply.response || reply.response->status < first_server_error)) {
        return health_outcome::success;
    }
    auto* state = m_services.find(call.event.service);
    const auto median_latency = state == nullptr ? std::nullopt : state->hedge_policy_of(call.route).median();
    const bool fast = median_latency && reply.service_time < *median_latency;
    return fast ? health_outcome::fast_failure : health_outcome::failure;
}

} // namespace cornelpier
