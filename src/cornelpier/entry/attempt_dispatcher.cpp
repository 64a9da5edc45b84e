#include "cornelpier/entry/attempt_dispatcher.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace cornelpier {

namespace {

constexpr duration fate_poll_interval = std::chrono::milliseconds{25};
// Subtracted from the remaining time of a run in addition to half a round trip.
constexpr duration transit_allowance = std::chrono::milliseconds{1};
constexpr std::uint32_t max_home_link_attempts = 2;

/// Refusals that the owner sends without queueing, so that their latency is the network round trip.
bool is_immediate(refusal reason) {
    return reason == refusal::wait_limit || reason == refusal::no_permit || reason == refusal::draining;
}

} // namespace

attempt_dispatcher::attempt_dispatcher(entry_context& context, dispatcher_dependencies deps,
                                       settled_callback on_settled)
    : m_context(context), m_deps(deps), m_on_settled(std::move(on_settled)) {}

void attempt_dispatcher::start(call_state& call, const selection& selected, const attempt_state& flags) {
    attempt_state attempt = flags;
    const auto number = static_cast<std::uint32_t>(call.attempts.size() + 1);
    attempt.id = {m_deps.calls.id_of(call), number};
    attempt.target = selected.target;
    attempt.data_centre = selected.data_centre;
    attempt.trial = selected.trial;
    attempt.started_at = m_context.now();
    attempt.ended_at = attempt.started_at;
    if (attempt.trial) {
        m_deps.health.trial_sent(selected.target);
    }
    call.attempts.push_back(attempt);
    m_index.add_waiting(selected.target, attempt.id);

    m_deps.links.open(selected.target, selected.address);
    if (m_deps.links.is_ready(selected.target) && !try_send(call, call.attempts.back())) {
        request_permit(selected.target);
    }
}

void attempt_dispatcher::abandon_attempts(call_state& call) {
    for (auto& it : call.attempts) {
        if (it.phase == attempt_phase::settled) {
            continue;
        }
        const bool was_sent = it.phase != attempt_phase::waiting;
        // Also cancels orders: the owner drops an order from its queue, but lets one at the server finish. An
        // order with an idempotency key keeps running, so that a repeated request gets its answer.
        if (was_sent && !call.is_keyed()) {
            cancel_run(it);
        }
        release(it);
        it.outcome = was_sent ? verdict::unknown : verdict::not_run;
    }
}

void attempt_dispatcher::withdraw_evacuated() {
    const auto& current_plan = *m_context.view->current_plan;
    // Collected first: settling an attempt may start others and end calls.
    std::vector<attempt_id> withdrawn;
    for (const auto* call : m_deps.calls.all()) {
        for (const auto& it : call->attempts) {
            if (it.phase == attempt_phase::waiting && current_plan.is_evacuated(it.data_centre)) {
                withdrawn.push_back(it.id);
            }
        }
    }
    for (const auto& id : withdrawn) {
        if (auto* call = m_deps.calls.find(id)) {
            settle(*call, *call->find(id.number),
                   {attempt_end::not_sent, verdict::not_run, refusal::evacuated, {}, {}});
        }
    }
}

/// If the link is down, the cancel message is sent when the next one opens.
void attempt_dispatcher::cancel_run(const attempt_state& attempt) {
    if (m_deps.links.is_ready(attempt.target)) {
        m_deps.links.send(attempt.target, cancel_attempt{attempt.id});
        return;
    }
    if (m_context.find_target(attempt.target) != nullptr) {
        m_pending_cancels[attempt.target].push_back(attempt.id);
    }
}

void attempt_dispatcher::on_link_ready(const target_id& target) {
    if (const auto it = m_pending_cancels.find(target); it != m_pending_cancels.end()) {
        for (const auto& id : it->second) {
            m_deps.links.send(target, cancel_attempt{id});
        }
        m_pending_cancels.erase(it);
    }
    for (const auto& id : m_index.sent(target)) {
        if (auto* call = m_deps.calls.find(id)) {
            query_fate(*call->find(id.number));
        }
    }
    send_waiting(target);
}

void attempt_dispatcher::on_link_lost(const target_id& target, link_loss cause) {
    // A peer may close an idle link; that says nothing about its health.
    if (awaits_reply(target) || cause != link_loss::closed) {
        m_deps.health.on_link_lost(target, cause);
    }
    m_permit_requests.erase(target);
    m_pending_cancels.erase(target);

    // Copied first: a retry of a sent attempt may choose this target again and must wait for the next link.
    const auto waiting = m_index.waiting(target);
    for (const auto& id : m_index.sent(target)) {
        handle_loss_after_send(id, cause);
    }
    for (const auto& id : waiting) {
        handle_loss_before_send(target, id, cause);
    }

    const auto* planned = m_context.find_target(target);
    if (planned != nullptr && (m_index.has_sent(target) || m_index.has_waiting(target))) {
        m_deps.links.open(target, planned->node_address);
    }
}

/// A process with a different incarnation has no record of attempts sent to its predecessor.
void attempt_dispatcher::on_hello(const target_id& target, incarnation process) {
    const auto stored_permit = m_deps.readings.usable_permit(target, m_context.now());
    if (stored_permit && stored_permit->owner != process) {
        m_deps.readings.drop_permit(target);
    }

    for (const auto& id : m_index.sent(target)) {
        auto* call = m_deps.calls.find(id);
        if (call == nullptr) {
            continue;
        }
        auto& attempt = *call->find(id.number);
        // The incarnation is not stored for lookups; the owner replies that it does not know them.
        const bool is_other =
            attempt.owner_incarnation != process && attempt.owner_incarnation != incarnation{};
        if (attempt.phase == attempt_phase::querying_fate && is_other) {
            settle(*call, attempt, {attempt_end::fate_unknown, verdict::unknown, refusal::none, {}, {}});
        }
    }
}

void attempt_dispatcher::on_permit(const target_id& target) {
    const auto request = m_permit_requests.find(target);
    if (request != m_permit_requests.end()) {
        m_permit_requests.erase(request);
    }
    send_waiting(target);
}

bool attempt_dispatcher::on_answer(const target_id& target, const run_response& reply) {
    auto* call = m_deps.calls.find(reply.attempt);
    if (call == nullptr) {
        return false;
    }
    auto& attempt = *call->find(reply.attempt.number);
    const bool awaited =
        attempt.phase == attempt_phase::sent || attempt.phase == attempt_phase::querying_fate;
    // The owner received a duplicate of a run in progress; the final answer is still to come.
    const bool is_duplicate_notice = reply.reason == refusal::duplicate && reply.outcome == verdict::unknown;
    if (!awaited || is_duplicate_notice || attempt.target != target) {
        return false;
    }

    if (attempt.phase == attempt_phase::sent) {
        observe_round_trip(attempt, reply);
    }
    if (reply.load && reply.load->target == target) {
        attempt.owner_incarnation = reply.load->permit.owner;
    }
    m_deps.health.on_answer(*call, attempt, reply);
    settle(*call, attempt,
           {attempt_end::answered, reply.outcome, reply.reason, reply.response, reply.retry_after});
    return true;
}

void attempt_dispatcher::on_fate(const target_id& target, const fate_reply& reply) {
    auto* call = m_deps.calls.find(reply.attempt);
    if (call == nullptr) {
        return;
    }
    auto& attempt = *call->find(reply.attempt.number);
    if (attempt.phase != attempt_phase::querying_fate || attempt.target != target) {
        return;
    }

    switch (reply.outcome) {
    case fate_outcome::ran:
        settle(*call, attempt, {attempt_end::fate_ran, verdict::ran, refusal::none, {}, {}});
        return;
    case fate_outcome::refused:
        settle(*call, attempt, {attempt_end::fate_refused, verdict::not_run, refusal::none, {}, {}});
        return;
    case fate_outcome::unknown:
        settle(*call, attempt, {attempt_end::fate_unknown, verdict::unknown, refusal::none, {}, {}});
        return;
    case fate_outcome::running:
        schedule_fate_query(attempt);
        return;
    }
}

bool attempt_dispatcher::awaits_reply(const target_id& target) const {
    return m_index.has_sent(target) || m_permit_requests.contains(target);
}

void attempt_dispatcher::send_waiting(const target_id& target) {
    if (!m_deps.links.is_ready(target)) {
        return;
    }
    bool lacks_permit = false;
    for (const auto& id : m_index.waiting(target)) {
        auto* call = m_deps.calls.find(id);
        if (call != nullptr && !try_send(*call, *call->find(id.number))) {
            lacks_permit = true;
        }
    }
    if (lacks_permit) {
        request_permit(target);
    }
}

/// @return false if the attempt requires a permit and there is none.
bool attempt_dispatcher::try_send(call_state& call, attempt_state& attempt) {
    if (!call.idempotent) {
        attempt.permit = m_deps.readings.usable_permit(attempt.target, m_context.now());
        if (!attempt.permit) {
            return false;
        }
        attempt.owner_incarnation = attempt.permit->owner;
    }
    send_run(call, attempt);
    return true;
}

void attempt_dispatcher::send_run(call_state& call, attempt_state& attempt) {
    run_request message;
    message.attempt = attempt.id;
    message.service = call.event.service;
    message.request = call.event.request;
    message.idempotent = call.idempotent;
    message.priority = call.priority;
    message.permit = attempt.permit;
    if (call.is_keyed()) {
        message.key = call.event.key;
    }
    message.wait_limit = attempt.wait_limit;
    message.remaining = remaining(call, attempt);
    message.depth = call.event.depth + 1;
    message.outer_retry = attempt.outer_retry;
    message.plan_version = m_context.view->current_plan->version;
    message.route = call.route;
    message.confined = attempt.confined;
    message.spilled = attempt.spilled;
    message.objective = call.arrived_at + call.objective - m_context.now();
    if (const auto* planned = m_context.find_target(attempt.target)) {
        message.instance = planned->instance;
    }
    if (const auto* load = m_deps.readings.find(attempt.target)) {
        message.rate_limit = load->rate_limit;
    }

    attempt.sent_at = m_context.now();
    m_deps.links.send(attempt.target, std::move(message));
    attempt.phase = attempt_phase::sent;
    m_index.mark_sent(attempt.target, attempt.id);
    m_deps.readings.run_sent(attempt.target, attempt.sent_at);
}

duration attempt_dispatcher::remaining(const call_state& call, const attempt_state& attempt) const {
    const duration round_trip = m_deps.round_trips.round_trip(attempt.target, attempt.data_centre);
    const duration left = call.deadline - m_context.now() - transit_allowance - round_trip / 2;
    return std::max(left, duration::zero());
}

void attempt_dispatcher::request_permit(const target_id& target) {
    if (m_permit_requests.contains(target)) {
        return;
    }
    m_deps.links.send(target, permit_request{});
    m_permit_requests.emplace(target, m_context.now());
}

void attempt_dispatcher::query_fate(const attempt_state& attempt) {
    m_deps.links.send(attempt.target, fate_query{attempt.id, attempt.permit});
}

void attempt_dispatcher::schedule_fate_query(const attempt_state& attempt) {
    m_context.timers.call_after(fate_poll_interval, [this, id = attempt.id] {
        auto* call = m_deps.calls.find(id);
        if (call == nullptr) {
            return;
        }
        if (const auto* it = call->find(id.number); it->phase == attempt_phase::querying_fate) {
            query_fate(*it);
        }
    });
}

/// The attempt was not sent, so another target may be chosen. A request with a key can only use its home
/// target, so it waits for another attempt to open the link.
void attempt_dispatcher::handle_loss_before_send(const target_id& target, const attempt_id& id,
                                                 link_loss cause) {
    auto* call = m_deps.calls.find(id);
    const bool is_planned = m_context.find_target(target) != nullptr;
    if (call == nullptr || (cause == link_loss::reset && is_planned)) {
        return;
    }
    auto& attempt = *call->find(id.number);
    if (is_planned && call->is_keyed() && ++attempt.failed_link_opens < max_home_link_attempts) {
        return;
    }
    settle(*call, attempt, {attempt_end::not_sent, verdict::not_run, refusal::none, {}, {}});
}

/// Owners keep no record of finished idempotent runs. Their fate is queried only while they may still be
/// running: after the link went silent, but not if the next link cannot be opened either.
void attempt_dispatcher::handle_loss_after_send(const attempt_id& id, link_loss cause) {
    auto* call = m_deps.calls.find(id);
    if (call == nullptr) {
        return;
    }
    auto& attempt = *call->find(id.number);
    if (call->idempotent && cause != link_loss::silent) {
        settle(*call, attempt, {attempt_end::lost, verdict::unknown, refusal::none, {}, {}});
        return;
    }
    attempt.phase = attempt_phase::querying_fate;
}

void attempt_dispatcher::observe_round_trip(const attempt_state& attempt, const run_response& reply) {
    const duration round_trip = m_context.now() - attempt.sent_at - reply.service_time;
    if (is_immediate(reply.reason)) {
        m_deps.round_trips.observe(attempt.target, attempt.data_centre, round_trip);
        return;
    }
    m_deps.round_trips.observe_upper_bound(attempt.target, attempt.data_centre, round_trip);
}

void attempt_dispatcher::settle(call_state& call, attempt_state& attempt, const attempt_result& result) {
    release(attempt);
    attempt.outcome = result.outcome;
    attempt.end = result.end;
    attempt.reason = result.reason;
    attempt.ended_at = m_context.now();
    m_on_settled(call, attempt, result);
}

void attempt_dispatcher::release(attempt_state& attempt) {
    m_index.remove(attempt.target, attempt.id);
    if (attempt.phase != attempt_phase::waiting) {
        m_deps.readings.run_ended(attempt.target, attempt.sent_at);
    }
    if (attempt.trial) {
        m_deps.health.trial_ended(attempt.target);
    }
    attempt.phase = attempt_phase::settled;
}

} // namespace cornelpier
