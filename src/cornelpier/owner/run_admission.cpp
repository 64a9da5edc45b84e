#include "cornelpier/owner/run_admission.hpp"

#include "cornelpier/admission/queueing_limit.hpp"
#include "cornelpier/admission/spill_reserve.hpp"

#include <algorithm>
#include <utility>

namespace cornelpier {

namespace {

run_response make_answer(const run_request& message, verdict outcome, refusal reason, duration retry_after) {
    run_response result;
    result.attempt = message.attempt;
    result.outcome = outcome;
    result.reason = reason;
    result.retry_after = retry_after;
    return result;
}

bool has_retry_after(refusal reason) {
    return reason == refusal::wait_limit || reason == refusal::overloaded || reason == refusal::deadline ||
           reason == refusal::draining || reason == refusal::ledger_full || reason == refusal::rate_limited;
}

} // namespace

void run_admission::on_run(link_id link, const run_request& message) {
    if (!is_idempotent_only_in_older_plan(message)) {
        admit(link, message);
        return;
    }
    run_request non_idempotent = message;
    non_idempotent.idempotent = false;
    admit(link, non_idempotent);
}

bool run_admission::is_idempotent_only_in_older_plan(const run_request& message) const {
    // An entry with an older plan may still treat a request as idempotent that no longer is.
    const service_plan* service = m_state.service();
    if (!message.idempotent || service == nullptr ||
        message.plan_version >= m_state.view->current_plan->version) {
        return false;
    }
    return !m_state.view->current_plan->is_idempotent(*service, message.request);
}

void run_admission::admit(link_id link, const run_request& message) {
    m_state.ledger.expire(m_state.now());
    m_state.keys.expire(m_state.now());
    m_state.suspects.expire(m_state.now());

    // Comes before all other checks: a duplicate must not be refused as `not_run` while another copy of the
    // attempt runs or has run.
    if (answer_duplicate(link, message)) {
        return;
    }
    std::optional<std::string> key;
    if (!message.idempotent && message.key) {
        key = key_placement::scoped_key(message.service, *message.key);
        if (answer_by_key(link, message, *key)) {
            return;
        }
    }
    if (const refusal reason = check_run(message); reason != refusal::none) {
        refuse(link, message, reason);
        return;
    }
    if (!open_records(message, key)) {
        m_state.outbox.log_throttled(event_number::ledger_full, {});
        refuse(link, message, refusal::ledger_full);
        return;
    }
    m_executor.accept(link, message, m_state.now() + time_left(message), std::move(key));
}

bool run_admission::answer_duplicate(link_id link, const run_request& message) {
    if (m_state.runs.find(message.attempt) != nullptr) {
        m_state.outbox.log(event_number::duplicate_run_refused, {});
        m_state.send_answer(link,
                            make_answer(message, verdict::unknown, refusal::duplicate, duration::zero()));
        return true;
    }
    const stored_answer* stored = m_state.ledger.find(message.attempt);
    if (stored == nullptr) {
        return false;
    }
    m_state.outbox.log(event_number::duplicate_run_refused, {});
    m_state.send_answer(link, stored->replay(message.attempt));
    return true;
}

bool run_admission::answer_by_key(link_id link, const run_request& message, const std::string& key) {
    if (answer_recorded_key(link, message, key)) {
        return true;
    }
    const service_plan* service = m_state.service();
    if (m_state.view != nullptr && (service == nullptr || service->id != message.service)) {
        return false;
    }
    if (service != nullptr && !m_state.placement.is_home(key)) {
        refuse(link, message, refusal::not_home);
        return true;
    }
    const duration unproved_time = m_state.placement.unproved_time(key, m_state.now());
    if (unproved_time > duration::zero()) {
        m_state.send_answer(link,
                            make_answer(message, verdict::unknown, refusal::key_unproved, unproved_time));
        return true;
    }
    return false;
}

bool run_admission::answer_recorded_key(link_id link, const run_request& message, const std::string& key) {
    const auto found = m_state.keys.lookup(key, fingerprint(message.request));
    switch (found.state) {
    case key_ledger::status::absent:
        return false;
    case key_ledger::status::conflict:
        refuse(link, message, refusal::key_conflict);
        return true;
    case key_ledger::status::running:
        m_state.send_answer(link, make_answer(message, verdict::unknown, refusal::key_running,
                                              m_state.jittered_retry_after()));
        return true;
    case key_ledger::status::answered:
        m_state.send_answer(link, found.stored->replay(message.attempt));
        return true;
    }
    return false;
}

refusal run_admission::check_run(const run_request& message) const {
    if (m_state.lifecycle.state() != node_state::serving) {
        return refusal::draining;
    }
    if (m_state.is_evacuated()) {
        return refusal::evacuated;
    }
    const service_plan* service = m_state.service();
    // The plan may still list another service's server that had this address before.
    const bool is_own = message.service == m_state.identity.service;
    if (!is_own || service == nullptr || service->id != message.service) {
        return refusal::unknown_service;
    }
    const suspicion level = level_of(message);
    if (level == suspicion::quarantined) {
        return refusal::quarantined;
    }
    if (level == suspicion::suspected && !message.confined && !message.key) {
        return refusal::suspected;
    }
    const permit_status permit_state = m_state.permits.check(message.permit, m_state.now());
    if (!message.idempotent && permit_state != permit_status::valid) {
        return refusal::no_permit;
    }
    return check_load(message);
}

refusal run_admission::check_load(const run_request& message) const {
    const duration left = time_left(message);
    if (left <= duration::zero()) {
        return refusal::deadline;
    }
    if (message.spilled &&
        !has_room_for_spilled_run(m_state.runs.at_server(), m_state.queue.size(), m_state.effective_limit(),
                                  m_state.usual_concurrency())) {
        return refusal::wait_limit;
    }
    if (!message.route.empty()) {
        return check_route_load(message, left);
    }
    const server_load load = m_state.runs.load(m_state.now());
    const std::size_t ahead = m_state.queue.ahead_of(message.priority);
    const duration pace_wait = m_state.expected_pace_wait(message.priority, ahead);
    const duration confinement_wait = m_state.expected_confinement_wait(level_of(message));
    const duration wait =
        std::max({m_state.load.reported_wait(load, ahead, m_state.now()), pace_wait, confinement_wait});
    if (message.wait_limit && wait > *message.wait_limit) {
        return refusal::wait_limit;
    }
    if (pace_wait > left) {
        return refusal::rate_limited;
    }
    // An idle server always gets a run. Without new samples, a service time estimate above the deadline could
    // never fall again.
    const bool idle = load.in_flight == 0 && m_state.queue.empty() && pace_wait == duration::zero();
    const duration slot_wait = std::max(m_state.load.expected_wait(load, ahead), confinement_wait);
    const duration expected = std::max(slot_wait, pace_wait) + m_state.load.current_service_time(load);
    if (!idle && expected > left) {
        return pace_wait > slot_wait ? refusal::rate_limited : refusal::deadline;
    }
    return m_executor.has_capacity(message.priority) ? refusal::none : refusal::overloaded;
}

/// Counts the expected delay by a slowdown of the server as waiting time: another target may not be slowed.
refusal run_admission::check_route_load(const run_request& message, duration left) const {
    const time_point now = m_state.now();
    const duration service_time = m_state.route_work.expected_work(message.route, message.objective);
    const std::size_t ahead =
        m_state.queue.ahead_of(message.priority, now + message.objective - service_time);
    const duration loss = m_state.slowness.expected_delay(service_time, now);
    const duration pace_wait = m_state.expected_pace_wait(message.priority, ahead);
    const duration slot_wait =
        std::max(m_state.expected_start_wait(ahead), m_state.expected_confinement_wait(level_of(message)));
    const duration wait = std::max(pace_wait, slot_wait) + loss;
    const run_estimate estimate{service_time, message.objective, left,
                                m_state.is_short_service_time(service_time)};
    if (cannot_meet_deadline(estimate)) {
        return refusal::deadline;
    }
    if (message.wait_limit && std::max(wait, m_state.load.failure_penalty(now)) > *message.wait_limit) {
        return refusal::wait_limit;
    }
    if (const duration limit = max_queueing_time(estimate); wait > limit) {
        return pace_wait > limit ? refusal::rate_limited : refusal::deadline;
    }
    return m_executor.has_capacity(message.priority) ? refusal::none : refusal::overloaded;
}

suspicion run_admission::level_of(const run_request& message) const {
    return m_state.suspects.level(message.service, message.request, m_state.now());
}

bool run_admission::needs_record(const run_request& message) const {
    if (!message.idempotent) {
        return true;
    }
    // Idempotent runs need no permit. If one has a permit all the same, a fate query without a record would
    // be answered `refused` although the run may have run.
    const permit_status permit_state = m_state.permits.check(message.permit, m_state.now());
    return permit_state == permit_status::valid || permit_state == permit_status::expired;
}

bool run_admission::open_records(const run_request& message, const std::optional<std::string>& key) {
    const bool record = needs_record(message);
    if ((record && m_state.ledger.full()) || (key && m_state.keys.full())) {
        return false;
    }
    if (record && !m_state.ledger.open(message.attempt, message.permit->expires_at)) {
        return false;
    }
    return !key || m_state.keys.open(*key, fingerprint(message.request));
}

duration run_admission::time_left(const run_request& message) const {
    return std::min(message.remaining, m_state.service()->deadline);
}

void run_admission::refuse(link_id link, const run_request& message, refusal reason) {
    duration retry_after{};
    if (reason == refusal::quarantined) {
        retry_after = m_state.suspects.quarantine_left(message.service, message.request, m_state.now());
    } else if (has_retry_after(reason)) {
        retry_after = message.route.empty() ? m_state.jittered_retry_after()
                                            : m_state.expected_start_wait(m_state.queue.size());
        if (reason == refusal::rate_limited && m_state.pacer.is_cold(m_state.now())) {
            retry_after = std::max(retry_after, m_state.pacer.wait(m_state.queue.size(), m_state.now()));
        }
    }
    m_state.send_answer(link, make_answer(message, verdict::not_run, reason, retry_after));
}

} // namespace cornelpier
