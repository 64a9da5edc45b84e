#include "cornelpier/entry/health_reporter.hpp"

#include <algorithm>
#include <chrono>
#include <cstddef>

namespace cornelpier {

namespace {

constexpr int first_server_error = 500;

// Shorter timeouts are ignored: callers may set deadlines that no target can meet.
constexpr duration min_timeout = std::chrono::milliseconds{250};

// Of fewer peers, none could be ejected.
constexpr std::size_t min_ejection_peers = 3;

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

health_reporter::health_reporter(entry_context& context, health_table& health, service_table& services,
                                 const spill_controller& spill)
    : m_context(context), m_health(health), m_services(services), m_spill(spill) {}

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
    // Without peers, no target is ejected.
    const auto peers = m_context.options.ejection ? ejection_peers(*state, target) : std::vector<target_id>{};
    const auto changed = m_health.on_outcome(target, outcome, peers, m_context.now());
    if (changed) {
        m_context.log_event(event_for(*changed), {{"target", target.value()}});
    }
}

/// Far targets take over few calls of a near one that is ejected. If they counted as its peers, nearly all
/// near targets could be ejected, and the others would get all of their calls.
std::vector<target_id> health_reporter::ejection_peers(const service_state& service,
                                                       const target_id& target) const {
    const auto position = std::ranges::find(service.subset, target);
    if (position == service.subset.end()) {
        return service.subset;
    }
    const auto index = static_cast<std::size_t>(position - service.subset.begin());
    const bool is_far = m_spill.is_far(service.data_centres[index]);
    std::vector<target_id> result;
    for (std::size_t i = 0; i < service.subset.size(); ++i) {
        if (m_spill.is_far(service.data_centres[i]) == is_far) {
            result.push_back(service.subset[i]);
        }
    }
    return result.size() < min_ejection_peers ? service.subset : result;
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
