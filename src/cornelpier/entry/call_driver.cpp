#include "cornelpier/entry/call_driver.hpp"

#include "cornelpier/entry/attempt_text.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace cornelpier {

namespace {

constexpr std::uint32_t max_depth = 8;
// The last try without a retry from the budget is unconditional.
constexpr std::uint32_t max_conditional_tries = 3;

// Each owner knows the speed of its server at the moment; a refusal costs one hop.
constexpr std::uint32_t max_conditional_tries_routed = 6;
constexpr std::uint32_t max_retries = 2;

// Time that an answer needs to a caller in the same region, both ways counted, and its least share of a
// deadline.
constexpr duration way_to_caller = std::chrono::milliseconds{20};
constexpr duration::rep way_share_divisor = 10;

constexpr duration exhaustion_event_interval = std::chrono::seconds{1};
constexpr duration unplanned_retry_after = std::chrono::seconds{1};

constexpr int first_error_status = 400;
constexpr int status_not_found = 404;
constexpr int status_unavailable = 503;
constexpr int status_gateway_timeout = 504;
constexpr int status_loop_detected = 508;

/// The request cost the server nothing, so that choosing again needs no budget. An overloaded owner may
/// refuse a conditional run before it compares the wait.
bool is_free(const call_state& call, const attempt_state& attempt, const attempt_result& result) {
    switch (result.reason) {
    case refusal::none:
        return result.end == attempt_end::not_sent || result.end == attempt_end::fate_refused;
    case refusal::wait_limit:
    case refusal::no_permit:
    case refusal::draining:
    case refusal::unknown_service:
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

/// The owner decided without its server, so that sending again is no repeat.
bool is_owners_refusal(refusal reason) {
    switch (reason) {
    case refusal::wait_limit:
    case refusal::overloaded:
    case refusal::deadline:
    case refusal::draining:
    case refusal::no_permit:
    case refusal::ledger_full:
    case refusal::unknown_service:
    case refusal::server_down:
        return true;
    default:
        return false;
    }
}

/// The refusal concerns the request itself; no other target would decide otherwise.
bool is_final(refusal reason) {
    return reason == refusal::key_conflict || reason == refusal::key_unproved ||
           reason == refusal::key_running || reason == refusal::not_home;
}

/// The target would refuse again at once, so that this call leaves it out.
bool is_lasting(const attempt_result& result) {
    return result.end == attempt_end::not_sent ||
           (result.outcome == verdict::not_run && result.reason != refusal::none &&
            result.reason != refusal::wait_limit && result.reason != refusal::no_permit &&
            result.reason != refusal::duplicate);
}

std::string request_label(const http_request& request, const std::string& field) {
    const std::string* value = find_field(request.fields, field);
    return value == nullptr ? std::string{} : *value;
}

} // namespace

call_driver::call_driver(entry_context& context, driver_parts parts) : m_context(context), m_parts(parts) {}

void call_driver::on_call(const call_arrived& event) {
    if (turned_away(event)) {
        return;
    }
    const destination where = find_destination(event);
    if (where.service == nullptr) {
        const verdict outcome = event.key ? verdict::unknown : verdict::not_run;
        const bool known = where.via != nullptr;
        m_context.emit(m_parts.composer.turn_away(
            event.call, outcome, known ? status_unavailable : status_not_found,
            known ? "the service of the route is not known" : "no such service or route",
            known ? unplanned_retry_after : duration::zero()));
        return;
    }
    start(admit(event, where));
}

call_driver::destination call_driver::find_destination(const call_arrived& event) {
    const auto& sheet = *m_context.view->current_plan;
    if (sheet.routes == nullptr) {
        return {sheet.find_service(event.service), nullptr};
    }
    const route* via = sheet.routes->find(event.host, event.request.path);
    if (via == nullptr) {
        return {};
    }
    return {sheet.find_service(m_shares.pick(*via, m_context.random)), via};
}

bool call_driver::turned_away(const call_arrived& event) {
    // An earlier exchange with the same key may have run; only the home of the key knows.
    const verdict outcome = event.key ? verdict::unknown : verdict::not_run;
    const auto answer = [&](int status, const std::string& reason, duration retry_after) {
        m_context.emit(m_parts.composer.turn_away(event.call, outcome, status, reason, retry_after));
        return true;
    };
    if (event.depth > max_depth) {
        return answer(status_loop_detected, "calls are nested too deep", {});
    }
    if (m_context.view == nullptr || m_context.view->current_plan == nullptr) {
        return answer(status_unavailable, "no plan is known yet", unplanned_retry_after);
    }
    if (event.deadline && *event.deadline <= duration::zero()) {
        return answer(status_gateway_timeout, "the deadline has passed", {});
    }
    // The call may have waited unread for longer than its key is remembered.
    if (event.key && m_context.now() < m_context.paused_until) {
        return answer(status_unavailable, "the node was paused; send the request again",
                      unplanned_retry_after);
    }
    return false;
}

call_state& call_driver::admit(const call_arrived& event, const destination& where) {
    auto& call = m_parts.calls.add(event, m_context.now());
    call.event.service = where.service->id;
    if (where.via != nullptr) {
        call.idempotent = where.via->idempotent;
        call.priority = where.via->priority;
        call.max_runs = where.via->max_attempts;
        call.route = where.via->name;
        call.objective = where.via->objective;
    } else if (const auto* rule = where.service->match(event.request.method, event.request.path)) {
        call.idempotent = rule->idempotent;
        call.priority = rule->priority;
    }

    call.deadline = call.arrived_at + time_allowed(event, where);
    const auto id = m_parts.calls.id_of(call);
    call.deadline_timer = m_context.timers.call_at(call.deadline, [this, id] { on_deadline(id); });
    return call;
}

duration call_driver::time_allowed(const call_arrived& event, const destination& where) {
    if (where.via == nullptr) {
        return std::min(event.deadline.value_or(where.service->deadline), where.service->deadline);
    }
    // An answer at the deadline finds the caller gone.
    const duration deadline = event.deadline.value_or(where.via->timeout);
    const duration allowance = std::min(way_to_caller, deadline / way_share_divisor);
    return std::min(deadline - allowance, where.via->timeout);
}

void call_driver::start(call_state& call) {
    const auto& service = *m_context.find_service(call.event.service);
    auto& state = m_parts.services.at(service);
    state.retries.on_call();
    m_parts.probes.on_call(service, state);

    if (!begin_attempt(call, attempt_kind::first)) {
        finish(call, m_parts.composer.finish(call));
        return;
    }
    if (call.idempotent) {
        state.hedges_of(call.route).on_call();
        schedule_hedge(call, state);
    }
}

bool call_driver::begin_attempt(call_state& call, attempt_kind kind) {
    auto where = select(call, kind);
    if (!where) {
        return false;
    }
    attempt_state flags;
    flags.hedge = kind == attempt_kind::hedge;
    flags.outer_retry = call.event.outer_retry || kind == attempt_kind::hedge || kind == attempt_kind::retry;
    if (call.tries < conditional_tries(call)) {
        flags.wait_limit = where->wait_limit;
    }
    if (kind == attempt_kind::first || kind == attempt_kind::rechoice) {
        ++call.tries;
    }
    m_parts.dispatcher.begin(call, *where, flags);
    return true;
}

std::uint32_t call_driver::conditional_tries(const call_state& call) {
    if (call.route.empty()) {
        return max_conditional_tries;
    }
    const auto* service = m_parts.services.find(call.event.service);
    const auto targets = service == nullptr ? 1 : static_cast<std::uint32_t>(service->subset.size());
    return std::min(targets, max_conditional_tries_routed);
}

std::optional<selection> call_driver::select(const call_state& call, attempt_kind kind) {
    const auto* service = m_context.find_service(call.event.service);
    if (service == nullptr) {
        return std::nullopt;
    }
    if (call.is_keyed()) {
        return target_selector::select_home(*service, *call.event.key);
    }
    return m_parts.selector.select(call, m_parts.services.at(*service), kind == attempt_kind::hedge);
}

void call_driver::on_settled(call_state& call, const attempt_state& attempt, const attempt_result& result) {
    note_result(call, attempt, result);
    if (result.outcome == verdict::ran) {
        finish(call, m_parts.composer.finish(call));
        return;
    }
    if (call.has_open_attempt()) {
        return;
    }

    const auto kind = next_kind(call, attempt, result);
    if (!kind || !begin_attempt(call, *kind)) {
        finish(call, m_parts.composer.finish(call));
        return;
    }
    const metric counted = *kind == attempt_kind::rechoice ? metric::rechoice : metric::retry;
    m_context.count(counted, call.event.service);
}

void call_driver::note_result(call_state& call, const attempt_state& attempt, const attempt_result& result) {
    call.last_result = result;
    if (result.outcome == verdict::unknown && result.response) {
        call.failure_response = result.response;
    }
    if (is_lasting(result)) {
        call.avoided.push_back(attempt.target);
    }
    auto* service = m_parts.services.find(call.event.service);
    if (service != nullptr && result.end == attempt_end::answered && result.outcome == verdict::ran) {
        service->hedges_of(call.route).on_latency(m_context.now() - attempt.sent_at);
    }
}

/// @return how the call goes on, or nothing if the result is its last.
std::optional<call_driver::attempt_kind>
call_driver::next_kind(call_state& call, const attempt_state& attempt, const attempt_result& result) {
    if (m_context.now() >= call.deadline || is_final(result.reason)) {
        return std::nullopt;
    }
    if (!call.idempotent && call.outcome() != verdict::not_run) {
        return std::nullopt;
    }
    // Only the home may run a keyed request, so that trying again is of use only if it would decide
    // otherwise.
    if (call.is_keyed() && is_lasting(result)) {
        return std::nullopt;
    }
    if (call.possible_runs() >= call.max_runs) {
        return std::nullopt;
    }
    if (is_free(call, attempt, result) && call.tries <= conditional_tries(call)) {
        return attempt_kind::rechoice;
    }
    // Every target was asked; the caller comes back when there is room.
    const bool asked_all = !call.route.empty() && is_owners_refusal(result.reason);
    if (asked_all || !leaves_time_for_retry(call)) {
        return std::nullopt;
    }
    return take_retry(call) ? std::optional{attempt_kind::retry} : std::nullopt;
}

/// A retry that cannot end before the deadline would keep the caller from hearing of the failure.
bool call_driver::leaves_time_for_retry(const call_state& call) {
    auto* service = m_parts.services.find(call.event.service);
    if (call.route.empty() || service == nullptr) {
        return true;
    }
    const auto usual = service->hedges_of(call.route).median();
    return !usual || call.deadline - m_context.now() > *usual;
}

bool call_driver::take_retry(call_state& call) {
    if (call.event.outer_retry || call.retries >= max_retries) {
        return false;
    }
    auto* service = m_parts.services.find(call.event.service);
    if (service == nullptr) {
        return false;
    }
    if (!service->retries.take()) {
        record_exhaustion(call.event.service, *service);
        return false;
    }
    ++call.retries;
    return true;
}

/// An overloaded service would fill the log with one event per call.
void call_driver::record_exhaustion(const service_id& service, service_state& state) {
    const time_point now = m_context.now();
    if (now < state.exhaustion_recorded_at + exhaustion_event_interval) {
        return;
    }
    state.exhaustion_recorded_at = now;
    m_context.record(event_number::retry_budget_exhausted, {{"service", service.value()}});
}

void call_driver::schedule_hedge(call_state& call, service_state& service) {
    const auto delay = service.hedges_of(call.route).delay();
    if (!m_context.options.hedging || !delay || call.event.outer_retry) {
        return;
    }
    const auto id = m_parts.calls.id_of(call);
    call.hedge_timer = m_context.timers.call_after(*delay, [this, id] { on_hedge_due(id); });
}

void call_driver::on_hedge_due(const request_id& request) {
    auto* call = m_parts.calls.find(request);
    if (call == nullptr) {
        return;
    }
    call->hedge_timer = 0;
    auto* service = m_parts.services.find(call->event.service);
    const bool may_run_again = call->has_open_attempt() && call->possible_runs() < call->max_runs;
    if (!may_run_again || service == nullptr || !service->take_hedge(call->route)) {
        return;
    }
    if (begin_attempt(*call, attempt_kind::hedge)) {
        m_context.count(metric::hedge, call->event.service);
    }
}

void call_driver::on_deadline(const request_id& request) {
    auto* call = m_parts.calls.find(request);
    if (call == nullptr) {
        return;
    }
    call->deadline_timer = 0;
    for (const auto& it : call->attempts) {
        if (it.phase == attempt_phase::sent) {
            m_parts.health.on_timeout(*call, it);
        }
    }
    finish(*call, m_parts.composer.time_out(*call));
}

void call_driver::end_all() {
    for (auto* call : m_parts.calls.all()) {
        finish(*call, m_parts.composer.time_out(*call));
    }
}

void call_driver::on_abandoned(call_id call) {
    if (auto* state = m_parts.calls.find(call)) {
        remove(*state);
    }
}

void call_driver::finish(call_state& call, answer_caller answer) {
    const double latency = static_cast<double>((m_context.now() - call.arrived_at).count());
    m_context.emit(record_metric{metric::call_latency, call.event.service, answer.outcome, latency});
    if (answer.outcome == verdict::unknown) {
        m_context.record(event_number::verdict_unknown,
                         {{"service", call.event.service.value()}, {"request", answer.token}});
    }
    record_end(call, answer);
    m_context.emit(std::move(answer));
    remove(call);
}

void call_driver::record_end(const call_state& call, const answer_caller& answer) {
    const duration took = m_context.now() - call.arrived_at;
    const bool failed = answer.response.status >= first_error_status;
    const bool late = call.objective > duration::zero() && took > call.objective;
    if (!failed && !late) {
        return;
    }
    m_context.record(failed ? event_number::call_failed : event_number::call_late,
                     {{"request", request_label(call.event.request, m_context.options.request_id_field)},
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
    m_parts.dispatcher.give_up(call);
    m_parts.calls.remove(call);
}

} // namespace cornelpier
