#include "cornelpier/entry/call_driver.hpp"

#include "cornelpier/entry/attempt_text.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace cornelpier {

namespace {

constexpr std::uint32_t max_call_depth = 8;
// The attempt after these carries no wait limit, so that its owner may queue it.
constexpr std::uint32_t conditional_attempt_limit = 3;

// With routes, more targets are asked: each owner knows the current speed of its server, and a refusal costs
// only one network round trip.
constexpr std::uint32_t routed_conditional_attempt_limit = 6;
constexpr std::uint32_t max_retries = 2;

// Reserved from the caller's deadline for the network round trip to a caller in the same region, but at most
// one tenth of the deadline.
constexpr duration caller_round_trip = std::chrono::milliseconds{20};
constexpr duration::rep caller_round_trip_divisor = 10;

constexpr duration budget_exhausted_log_interval = std::chrono::seconds{1};
constexpr duration unavailable_retry_after = std::chrono::seconds{1};

constexpr int first_error_status = 400;
constexpr int first_server_error_status = 500;
constexpr int status_not_found = 404;
constexpr int status_unavailable = 503;
constexpr int status_gateway_timeout = 504;
constexpr int status_loop_detected = 508;

/// The owner refused on its own; the server never got the request, so sending it again is not a repeat.
bool is_decided_by_owner(refusal reason) {
    switch (reason) {
    case refusal::wait_limit:
    case refusal::overloaded:
    case refusal::deadline:
    case refusal::draining:
    case refusal::no_permit:
    case refusal::ledger_full:
    case refusal::unknown_service:
    case refusal::server_down:
    case refusal::rate_limited:
    case refusal::quarantined:
    case refusal::suspected:
    case refusal::evacuated:
        return true;
    default:
        return false;
    }
}

/// The attempt cost the server nothing, so another target may be chosen without spending retry budget. An
/// overloaded owner may refuse a run with a wait limit as overloaded before it compares the wait.
bool is_exempt_from_retry_budget(const call_state& call, const attempt_state& attempt,
                                 const attempt_result& result) {
    if (attempt.confined && is_decided_by_owner(result.reason)) {
        return true;
    }
    switch (result.reason) {
    case refusal::none:
        return result.end == attempt_end::not_sent || result.end == attempt_end::fate_refused;
    case refusal::wait_limit:
    case refusal::no_permit:
    case refusal::draining:
    case refusal::unknown_service:
    case refusal::rate_limited:
    case refusal::suspected:
        return true;
    case refusal::overloaded:
        return attempt.wait_limit.has_value();
    case refusal::deadline:
        return attempt.wait_limit.has_value() && !call.route.empty();
    case refusal::server_down:
        return !call.route.empty();
    default:
        return false;
    }
}

/// The refusal concerns the request itself; every other target would refuse it too.
bool applies_to_all_targets(refusal reason) {
    return reason == refusal::key_conflict || reason == refusal::key_unproved ||
           reason == refusal::key_running || reason == refusal::not_home || reason == refusal::quarantined;
}

/// The target would refuse the same call again, so the call does not use it any more.
bool excludes_target(const attempt_result& result) {
    return result.end == attempt_end::not_sent ||
           (result.outcome == verdict::not_run && result.reason != refusal::none &&
            result.reason != refusal::wait_limit && result.reason != refusal::suspected &&
            result.reason != refusal::no_permit && result.reason != refusal::duplicate);
}

std::string caller_request_id(const http_request& request, const std::string& field) {
    const std::string* value = find_field(request.fields, field);
    return value == nullptr ? std::string{} : *value;
}

} // namespace

call_driver::call_driver(entry_context& context, call_driver_dependencies deps)
    : m_context(context), m_deps(deps) {}

void call_driver::on_call(const call_arrived& event) {
    if (reject_early(event)) {
        return;
    }
    const destination resolved = find_destination(event);
    if (resolved.service == nullptr) {
        const verdict outcome = event.key ? verdict::unknown : verdict::not_run;
        const bool known = resolved.matched_route != nullptr;
        m_context.emit(m_deps.composer.reject(
            event.call, outcome, known ? status_unavailable : status_not_found,
            known ? "the service of the route is not known" : "no such service or route",
            known ? unavailable_retry_after : duration::zero()));
        return;
    }
    start(admit(event, resolved));
}

call_driver::destination call_driver::find_destination(const call_arrived& event) {
    const auto& current_plan = *m_context.view->current_plan;
    if (current_plan.routes == nullptr) {
        return {current_plan.find_service(event.service), nullptr};
    }
    const route* matched_route = current_plan.routes->find(event.host, event.request.path);
    if (matched_route == nullptr) {
        return {};
    }
    return {current_plan.find_service(m_traffic_splitter.pick(*matched_route, m_context.random)),
            matched_route};
}

bool call_driver::reject_early(const call_arrived& event) {
    // An earlier request with the same key may have run; only the home target of the key can tell.
    const verdict outcome = event.key ? verdict::unknown : verdict::not_run;
    const auto answer = [&](int status, const std::string& reason, duration retry_after) {
        m_context.emit(m_deps.composer.reject(event.call, outcome, status, reason, retry_after));
        return true;
    };
    if (event.depth > max_call_depth) {
        return answer(status_loop_detected, "calls are nested too deep", {});
    }
    if (m_context.view == nullptr || m_context.view->current_plan == nullptr) {
        return answer(status_unavailable, "no plan is known yet", unavailable_retry_after);
    }
    if (event.deadline && *event.deadline <= duration::zero()) {
        return answer(status_gateway_timeout, "the deadline has passed", {});
    }
    // The request may have been in the socket buffer for longer than owners remember its key.
    if (event.key && m_context.now() < m_context.backlog_until) {
        return answer(status_unavailable, "the node was paused; send the request again",
                      unavailable_retry_after);
    }
    return false;
}

call_state& call_driver::admit(const call_arrived& event, const destination& resolved) {
    auto& call = m_deps.calls.add(event, m_context.now());
    call.event.service = resolved.service->id;
    if (resolved.matched_route != nullptr) {
        call.priority = resolved.matched_route->priority;
        call.max_runs = resolved.matched_route->max_attempts;
        call.route = resolved.matched_route->name;
        // A large response is awaited like the result of an order: under a burst of downloads, repeats take
        // the bandwidth that the first ones wait for.
        call.idempotent = resolved.matched_route->idempotent && !resolved.matched_route->large_responses;
        call.objective = resolved.matched_route->objective;
    } else if (const auto* rule = resolved.service->match(event.request.method, event.request.path)) {
        call.idempotent = rule->idempotent;
        call.priority = rule->priority;
    }

    call.deadline = call.arrived_at + call_time_limit(event, resolved);
    const auto id = m_deps.calls.id_of(call);
    call.deadline_timer = m_context.timers.call_at(call.deadline, [this, id] { on_deadline(id); });
    return call;
}

duration call_driver::call_time_limit(const call_arrived& event, const destination& resolved) {
    if (resolved.matched_route == nullptr) {
        return std::min(event.deadline.value_or(resolved.service->deadline), resolved.service->deadline);
    }
    // An answer sent at the deadline would reach the caller too late.
    const duration deadline = event.deadline.value_or(resolved.matched_route->timeout);
    const duration allowance = std::min(caller_round_trip, deadline / caller_round_trip_divisor);
    return std::min(deadline - allowance, resolved.matched_route->timeout);
}

void call_driver::start(call_state& call) {
    const auto& service = *m_context.find_service(call.event.service);
    auto& state = m_deps.services.at(service);
    state.retries.on_call();
    m_deps.probes.on_call(service, state);

    if (m_deps.quarantine.level(call) == suspicion::quarantined) {
        m_deps.quarantine.on_rejected(call);
        finish(call, m_deps.composer.reject_quarantined(call, m_deps.quarantine.quarantine_left(call)));
        return;
    }
    if (!begin_attempt(call, attempt_kind::first)) {
        finish(call, m_deps.composer.finish(call));
        return;
    }
    if (call.idempotent) {
        state.hedge_policy_of(call.route).on_call();
        schedule_hedge(call, state);
    }
}

bool call_driver::begin_attempt(call_state& call, attempt_kind kind) {
    auto selected = select(call, kind);
    if (!selected) {
        return false;
    }
    attempt_state flags;
    flags.hedge = kind == attempt_kind::hedge;
    flags.outer_retry = call.event.outer_retry || kind == attempt_kind::hedge || kind == attempt_kind::retry;
    flags.confined = selected->confined;
    flags.spilled = selected->spilled;
    if (!flags.confined && call.unbudgeted_attempts < max_conditional_attempts(call)) {
        flags.wait_limit = selected->wait_limit;
    }
    if (kind == attempt_kind::first || kind == attempt_kind::rechoice) {
        ++call.unbudgeted_attempts;
    }
    m_deps.dispatcher.start(call, *selected, flags);
    return true;
}

std::uint32_t call_driver::max_conditional_attempts(const call_state& call) {
    if (call.route.empty()) {
        return conditional_attempt_limit;
    }
    const auto* service = m_deps.services.find(call.event.service);
    const auto targets = service == nullptr ? 1 : static_cast<std::uint32_t>(service->subset.size());
    return std::min(targets, routed_conditional_attempt_limit);
}

std::optional<selection> call_driver::select(const call_state& call, attempt_kind kind) {
    const auto* service = m_context.find_service(call.event.service);
    if (service == nullptr) {
        return std::nullopt;
    }
    if (call.is_keyed()) {
        return m_deps.selector.select_home(*service, *call.event.key);
    }
    if (call.is_suspected || m_deps.quarantine.level(call) == suspicion::suspected) {
        return kind == attempt_kind::hedge ? std::nullopt : m_deps.selector.select_confined(call, *service);
    }
    return m_deps.selector.select(call, m_deps.services.at(*service), kind == attempt_kind::hedge);
}

void call_driver::on_settled(call_state& call, const attempt_state& attempt, const attempt_result& result) {
    record_result(call, attempt, result);
    if (result.outcome == verdict::ran) {
        finish(call, m_deps.composer.finish(call));
        return;
    }
    if (call.has_open_attempt()) {
        return;
    }

    const auto kind = next_kind(call, attempt, result);
    if (!kind || !begin_attempt(call, *kind)) {
        finish(call, m_deps.composer.finish(call));
        return;
    }
    const metric counter = *kind == attempt_kind::rechoice ? metric::rechoice : metric::retry;
    m_context.count(counter, call.event.service);
}

void call_driver::record_result(call_state& call, const attempt_state& attempt,
                                const attempt_result& result) {
    call.last_result = result;
    m_deps.spill.on_settled(call, attempt, result);
    call.is_suspected = call.is_suspected || result.reason == refusal::suspected;
    if (result.reason == refusal::quarantined) {
        m_deps.quarantine.on_refused(call, result.retry_after);
        m_deps.quarantine.on_rejected(call);
    }
    if (result.outcome == verdict::ran && result.response &&
        result.response->status < first_server_error_status) {
        m_deps.quarantine.on_success(call);
    }
    if (result.outcome == verdict::unknown && result.response) {
        call.failure_response = result.response;
    }
    if (result.outcome == verdict::not_run && result.retry_after > duration::zero()) {
        call.earliest_retry = std::min(call.earliest_retry.value_or(duration::max()), result.retry_after);
    }
    if (excludes_target(result)) {
        call.excluded_targets.push_back(attempt.target);
    }
    if (result.reason == refusal::evacuated) {
        exclude_data_centre(call, attempt.data_centre);
    }
    auto* service = m_deps.services.find(call.event.service);
    if (service != nullptr && result.end == attempt_end::answered && result.outcome == verdict::ran) {
        service->hedge_policy_of(call.route).on_latency(m_context.now() - attempt.sent_at);
    }
}

/// An owner may know of an evacuation before this entry does; the other owners there would refuse as well.
void call_driver::exclude_data_centre(call_state& call, const data_centre_id& data_centre) const {
    const auto* service = m_context.find_service(call.event.service);
    if (service == nullptr) {
        return;
    }
    for (const auto& it : service->targets) {
        if (it.data_centre == data_centre) {
            call.excluded_targets.push_back(it.id);
        }
    }
}

/// @return the kind of the next attempt, or nothing if the call ends with this result.
std::optional<call_driver::attempt_kind>
call_driver::next_kind(call_state& call, const attempt_state& attempt, const attempt_result& result) {
    if (m_context.now() >= call.deadline || applies_to_all_targets(result.reason)) {
        return std::nullopt;
    }
    if (!call.idempotent && call.outcome() != verdict::not_run) {
        return std::nullopt;
    }
    if (m_deps.quarantine.level(call) == suspicion::quarantined) {
        call.earliest_retry = m_deps.quarantine.quarantine_left(call);
        return std::nullopt;
    }
    const bool is_evacuated = result.reason == refusal::evacuated;
    // Only the home target may run a keyed request, so a repeat is useless if that target would refuse again.
    // If the attempt was withdrawn here, the key has another home now.
    const bool has_new_home = is_evacuated && result.end == attempt_end::not_sent;
    if (call.is_keyed() && excludes_target(result) && !has_new_home) {
        return std::nullopt;
    }
    if (call.possible_runs() >= call.max_runs) {
        return std::nullopt;
    }
    // Bounded by the number of data centres: the call does not use this one any more.
    if (is_evacuated) {
        return attempt_kind::rechoice;
    }
    if (is_exempt_from_retry_budget(call, attempt, result) &&
        call.unbudgeted_attempts <= max_conditional_attempts(call)) {
        return attempt_kind::rechoice;
    }
    // All targets were asked; the caller may retry when there is capacity.
    const bool all_targets_asked = !call.route.empty() && is_decided_by_owner(result.reason);
    if (all_targets_asked || !has_time_for_retry(call)) {
        return std::nullopt;
    }
    return try_consume_retry(call) ? std::optional{attempt_kind::retry} : std::nullopt;
}

/// A retry that cannot finish before the deadline would only delay the error that the caller gets.
bool call_driver::has_time_for_retry(const call_state& call) {
    auto* service = m_deps.services.find(call.event.service);
    if (call.route.empty() || service == nullptr) {
        return true;
    }
    const auto median_latency = service->hedge_policy_of(call.route).median();
    return !median_latency || call.deadline - m_context.now() > *median_latency;
}

bool call_driver::try_consume_retry(call_state& call) {
    if (call.event.outer_retry || call.retries >= max_retries) {
        return false;
    }
    auto* service = m_deps.services.find(call.event.service);
    if (service == nullptr) {
        return false;
    }
    if (!service->retries.try_take()) {
        log_retry_budget_exhausted(call.event.service, *service);
        return false;
    }
    ++call.retries;
    return true;
}

/// Rate limited: an overloaded service would otherwise log one event per call.
void call_driver::log_retry_budget_exhausted(const service_id& service, service_state& state) {
    const time_point now = m_context.now();
    if (now < state.budget_exhausted_logged_at + budget_exhausted_log_interval) {
        return;
    }
    state.budget_exhausted_logged_at = now;
    m_context.log_event(event_number::retry_budget_exhausted, {{"service", service.value()}});
}

void call_driver::schedule_hedge(call_state& call, service_state& service) {
    const auto delay = service.hedge_policy_of(call.route).delay();
    if (!m_context.options.hedging || !delay || call.event.outer_retry) {
        return;
    }
    const auto id = m_deps.calls.id_of(call);
    call.hedge_timer = m_context.timers.call_after(*delay, [this, id] { on_hedge_due(id); });
}

void call_driver::on_hedge_due(const request_id& request) {
    auto* call = m_deps.calls.find(request);
    if (call == nullptr) {
        return;
    }
    call->hedge_timer = 0;
    auto* service = m_deps.services.find(call->event.service);
    const bool may_run_again = call->has_open_attempt() && call->possible_runs() < call->max_runs;
    if (!may_run_again || service == nullptr || !service->try_consume_hedge(call->route)) {
        return;
    }
    if (begin_attempt(*call, attempt_kind::hedge)) {
        m_context.count(metric::hedge, call->event.service);
    }
}

void call_driver::on_deadline(const request_id& request) {
    auto* call = m_deps.calls.find(request);
    if (call == nullptr) {
        return;
    }
    call->deadline_timer = 0;
    for (const auto& it : call->attempts) {
        if (it.phase == attempt_phase::sent) {
            m_deps.health.on_timeout(*call, it);
        }
    }
    finish(*call, m_deps.composer.time_out(*call));
}

void call_driver::finish_all() {
    for (auto* call : m_deps.calls.all()) {
        finish(*call, m_deps.composer.time_out(*call));
    }
}

void call_driver::on_abandoned(call_id call) {
    if (auto* state = m_deps.calls.find(call)) {
        remove(*state);
    }
}

void call_driver::finish(call_state& call, answer_caller answer) {
    const double latency = static_cast<double>((m_context.now() - call.arrived_at).count());
    m_context.emit(record_metric{metric::call_latency, call.event.service, answer.outcome, latency});
    if (answer.outcome == verdict::unknown) {
        m_context.log_event(event_number::verdict_unknown,
                            {{"service", call.event.service.value()}, {"request", answer.token}});
    }
    log_call_end(call, answer);
    m_context.emit(std::move(answer));
    remove(call);
}

void call_driver::log_call_end(const call_state& call, const answer_caller& answer) {
    const duration took = m_context.now() - call.arrived_at;
    const bool failed = answer.response.status >= first_error_status;
    const bool late = call.objective > duration::zero() && took > call.objective;
    if (!failed && !late) {
        return;
    }
    m_context.log_event(
        failed ? event_number::call_failed : event_number::call_late,
        {{"request", caller_request_id(call.event.request, m_context.options.request_id_field)},
         {"service", call.event.service.value()},
         {"route", call.route},
         {"status", std::to_string(answer.response.status)},
         {"verdict", std::string{to_string(answer.outcome)}},
         {"took_ms", milliseconds_text(took)},
         {"left_ms", milliseconds_text(call.deadline - m_context.now())},
         {"attempts", describe_attempts(call)}});
}

void call_driver::remove(call_state& call) {
    m_context.timers.cancel(call.deadline_timer);
    m_context.timers.cancel(call.hedge_timer);
    m_deps.dispatcher.abandon_attempts(call);
    m_deps.calls.remove(call);
}

} // namespace cornelpier
