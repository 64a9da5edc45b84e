#include "cornelpier/owner/run_executor.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <string>
#include <utility>

namespace cornelpier {

namespace {

constexpr int first_server_error_status = 500;
constexpr int status_misdirected_request = 421;
constexpr int status_too_many_requests = 429;
constexpr double percent = 100;

/// How long after its deadline a non-idempotent run may still complete, so that the ledger records its
/// outcome. Short enough for the drain to wait for it.
constexpr duration late_result_timeout = std::chrono::seconds{10};

/// Bounds the memory of queued request bodies: a queue full of the largest bodies must fit into the node.
constexpr std::size_t max_queued_bytes = std::size_t{16} * 1024 * 1024;

bool is_refusal_status(const service_plan* service, int status) {
    return service != nullptr &&
           std::ranges::find(service->refusal_statuses, status) != service->refusal_statuses.end();
}

bool has_retry_after(refusal reason) {
    return reason == refusal::overloaded || reason == refusal::deadline || reason == refusal::server_down;
}

} // namespace

bool run_executor::has_free_slot() const {
    return m_state.runs.at_server() < m_state.effective_limit();
}

bool run_executor::may_start() const {
    return has_free_slot() && m_state.pacer.wait(0, m_state.now()) == duration::zero();
}

time_point run_executor::last_start(const accepted_run& accepted) {
    return accepted.deadline - accepted.baseline_service_time;
}

bool run_executor::has_capacity(request_class priority) const {
    if (may_start() && m_state.queue.empty()) {
        return true;
    }
    return m_state.runs.queued_bytes() < max_queued_bytes && m_state.queue.accepts(priority);
}

bool run_executor::would_miss_deadline(const accepted_run& accepted) const {
    const duration left = accepted.deadline - m_state.now();
    if (left <= duration::zero()) {
        return true;
    }
    if (!accepted.route.empty()) {
        return left < accepted.baseline_service_time;
    }
    // An idle server always gets a run. Without new samples, a service time estimate above the deadline could
    // never fall again.
    const server_load load = m_state.runs.load(m_state.now());
    return load.in_flight > 0 && left < m_state.load.current_service_time(load);
}

duration run_executor::time_at_server(const accepted_run& accepted) const {
    return m_state.now() - accepted.dispatched_at;
}

void run_executor::accept(link_id link, const run_request& message, time_point deadline,
                          std::optional<std::string> key) {
    accepted_run accepted;
    accepted.attempt = message.attempt;
    accepted.request = message.request;
    accepted.idempotent = message.idempotent;
    accepted.key = std::move(key);
    accepted.depth = message.depth;
    accepted.outer_retry = message.outer_retry;
    accepted.instance = message.instance;
    accepted.deadline = deadline;
    accepted.reply_to = link;

    accepted.priority = message.priority;
    accepted.accepted_at = m_state.now();
    if (!message.route.empty()) {
        accepted.route = message.route;
        accepted.baseline_service_time = m_state.route_work.expected_work(message.route, message.objective);
        accepted.latest_start = m_state.now() + message.objective - accepted.baseline_service_time;
    }

    accepted.is_suspect =
        m_state.suspects.level(message.service, message.request, m_state.now()) == suspicion::suspected;
    m_state.class_rates.on_accepted(message.priority, m_state.now());
    accepted_run& added = m_state.runs.add(std::move(accepted));
    if (!added.is_suspect) {
        enqueue(added);
        return;
    }
    m_has_suspects = true;
    schedule_last_start(added);
    release_suspect();
}

/// The timer fires at the last start that can still meet the deadline, so that the caller is not kept waiting
/// for a run that would be cancelled.
void run_executor::schedule_last_start(accepted_run& accepted) {
    accepted.timer.call_at(m_state.timers, last_start(accepted),
                           [this, id = accepted.id] { on_deadline(id); });
}

void run_executor::enqueue(accepted_run& accepted) {
    const run_id id = accepted.id;
    if (may_start() && m_state.queue.empty() && !must_defer(accepted)) {
        dispatch(accepted);
        return;
    }
    schedule_last_start(accepted);
    const bool is_short =
        !accepted.route.empty() && m_state.is_short_service_time(accepted.baseline_service_time);
    const time_point late_after = is_short ? last_start(accepted) : accepted.latest_start;
    const auto offered = m_state.queue.offer(id, accepted.priority, accepted.latest_start, late_after);
    if (!offered.accepted) {
        refuse(id, refusal::overloaded);
        return;
    }
    if (offered.shed) {
        refuse(*offered.shed, refusal::overloaded);
    }
    // This run may get a slot that is reserved for on-time runs although late runs are queued.
    start_queued();
    refuse_unservable();
}

void run_executor::release_suspect() {
    const bool is_one_released = m_released_suspect && m_state.runs.find(*m_released_suspect) != nullptr;
    if (!m_has_suspects || is_one_released || m_state.runs.has_suspect_at_server()) {
        return;
    }
    const auto waiting = m_state.runs.queued_suspects();
    m_has_suspects = !waiting.empty();
    m_released_suspect = waiting.empty() ? std::nullopt : std::optional{waiting.front()};
    if (m_released_suspect) {
        enqueue(*m_state.runs.find(*m_released_suspect));
    }
}

void run_executor::on_suspects_changed() {
    m_has_suspects = true;
    for (const run_id id : m_state.runs.at_server_youngest_first()) {
        update_suspect_at_server(*m_state.runs.find(id));
    }
    for (const run_id id : m_state.runs.queued()) {
        // Enqueueing an earlier one may have ended this one.
        if (accepted_run* queued = m_state.runs.find(id); queued != nullptr && !queued->at_server) {
            update_queued_suspect(*queued);
        }
    }
    on_run_ended();
}

/// Most servers give a request up when its connection is closed, perhaps before it ends them.
void run_executor::update_suspect_at_server(accepted_run& accepted) {
    const suspicion level = m_state.suspects.level(accepted.trace, m_state.now());
    accepted.is_suspect = level != suspicion::none;
    if (level == suspicion::quarantined && accepted.idempotent) {
        cancel_at_server(accepted);
        complete(accepted.id, {});
    }
}

void run_executor::update_queued_suspect(accepted_run& accepted) {
    const suspicion level = m_state.suspects.level(m_state.identity.service, accepted.request, m_state.now());
    const bool was_suspect = std::exchange(accepted.is_suspect, level == suspicion::suspected);
    if (level == suspicion::quarantined) {
        refuse(accepted.id, refusal::quarantined);
    } else if (accepted.is_suspect && !was_suspect) {
        m_state.queue.remove(accepted.id);
    } else if (was_suspect && !accepted.is_suspect && m_released_suspect != accepted.id) {
        enqueue(accepted);
    }
}

bool run_executor::must_defer(const accepted_run& accepted) const {
    return !accepted.route.empty() &&
           m_state.slowness.should_defer(accepted.baseline_service_time, m_state.now());
}

/// The queue returns a late run only if no on-time run is queued, so blocking it delays no on-time run.
bool run_executor::is_blocked_by_reserve(const accepted_run& accepted) const {
    const bool is_late = !accepted.route.empty() && accepted.latest_start < m_state.now();
    return is_late && !m_state.is_short_service_time(accepted.baseline_service_time) &&
           !m_state.reserve.admits_late(m_state.runs.at_server(), m_state.effective_limit(), m_state.now());
}

bool run_executor::is_deferring() const {
    if (!may_start()) {
        return false;
    }
    const auto id = m_state.queue.next(m_state.now());
    return id && must_defer(*m_state.runs.find(*id));
}

void run_executor::dispatch(accepted_run& accepted) {
    if (!accepted.route.empty() && accepted.latest_start >= m_state.now()) {
        m_state.reserve.on_timely_start(m_state.now());
    }
    m_state.runs.mark_dispatched(accepted, m_state.now());
    accepted.timer.call_at(m_state.timers, accepted.deadline, [this, id = accepted.id] { on_deadline(id); });
    accepted.slowness = m_state.slowness.current();
    accepted.concurrency_at_start = static_cast<std::uint32_t>(m_state.runs.at_server());

    accepted.trace = make_trace(m_state.identity.service, accepted.request);
    m_state.record_start();
    ++m_state.server_requests.runs;
    m_state.outbox.increment(metric::run_started);

    start_run action;
    action.run = accepted.id;
    action.request = std::move(accepted.request);
    action.fresh_connection = !accepted.idempotent;
    action.deadline = accepted.deadline - m_state.now();
    action.timeout = action.deadline;
    if (!accepted.idempotent) {
        action.timeout += late_result_timeout;
    }
    action.depth = accepted.depth;
    action.outer_retry = accepted.outer_retry;
    action.instance = expected_instance(accepted);
    m_state.outbox.emit(std::move(action));
}

/// The process that the entry named may have been replaced since. Any process of this target's server may run
/// the request, but the current one is named explicitly: the address may belong to another server by now, and
/// that one must not start the run.
std::string run_executor::expected_instance(const accepted_run& accepted) const {
    const bool is_known = !m_state.server_instance.empty();
    return is_known && !accepted.instance.empty() ? m_state.server_instance : accepted.instance;
}

void run_executor::on_server_instance(const std::string& instance) {
    if (instance.empty() || instance == m_state.server_instance) {
        return;
    }
    m_state.server_instance = instance;
    m_state.slowness.on_new_server(m_state.now());
    m_state.outbox.log(event_number::server_instance_seen, {{"instance", instance}});
}

void run_executor::start_queued() {
    while (has_free_slot()) {
        const auto id = m_state.queue.next(m_state.now());
        if (!id) {
            return;
        }
        if (const duration wait = m_state.pacer.wait(0, m_state.now()); wait > duration::zero()) {
            m_pace_timer.call_at(m_state.timers, m_state.now() + wait, [this] { start_queued(); });
            return;
        }
        accepted_run& accepted = *m_state.runs.find(*id);
        if (would_miss_deadline(accepted)) {
            refuse(*id, refusal::deadline);
            continue;
        }
        if (must_defer(accepted) || is_blocked_by_reserve(accepted)) {
            return;
        }
        m_state.queue.remove(*id);
        dispatch(accepted);
    }
}

void run_executor::refuse_queued(refusal reason) {
    for (const run_id id : m_state.runs.queued()) {
        refuse(id, reason);
    }
    on_run_ended();
}

void run_executor::refuse_unservable() {
    if (m_state.pacer.wait(m_state.queue.size(), m_state.now()) == duration::zero()) {
        return;
    }
    std::size_t ahead = 0;
    for (const run_id id : m_state.queue.in_order()) {
        const duration wait = m_state.pacer.wait(ahead, m_state.now());
        if (wait > duration::zero() && m_state.now() + wait > last_start(*m_state.runs.find(id))) {
            refuse(id, refusal::rate_limited);
        } else {
            ++ahead;
        }
    }
}

void run_executor::refuse_overdue() {
    for (const run_id id : m_state.runs.queued_past_deadline(m_state.now())) {
        refuse(id, refusal::deadline);
    }
    on_run_ended();
}

void run_executor::on_answered(const server_answered& event) {
    const accepted_run* accepted = m_state.runs.find(event.run);
    if (accepted == nullptr) {
        m_state.outbox.increment(metric::answer_discarded);
        return;
    }
    const int status = event.response.status;
    const bool refused = event.refused || is_refusal_status(m_state.service(), status);
    if (status == status_misdirected_request) {
        m_state.server_instance.clear();
    }
    const bool error = status >= first_server_error_status || status == status_too_many_requests || refused;
    const std::uint32_t in_flight = m_state.runs.load(m_state.now()).in_flight;
    const duration took = from_seconds(to_seconds(time_at_server(*accepted)) / accepted->slowness);
    m_state.load.on_answered(took, error, in_flight, m_state.now());
    log_run_ended(*accepted, status);
    if (!error && !accepted->route.empty()) {
        m_state.contention.add(
            accepted->concurrency_at_start, m_state.load.limit(), time_at_server(*accepted),
            from_seconds(to_seconds(accepted->baseline_service_time) * accepted->slowness));
        m_state.route_work.add(accepted->route, time_at_server(*accepted), accepted->slowness);
    }
    m_drain.on_server_up();

    complete(event.run, make_final_answer(*accepted, event.response, refused));
    on_run_ended();
}

void run_executor::log_run_ended(const accepted_run& accepted, int status) {
    if (accepted.route.empty()) {
        return;
    }
    m_state.outbox.log(event_number::run_ended,
                       {{"route", accepted.route},
                        {"status", std::to_string(status)},
                        {"waited_ms", milliseconds_text(accepted.dispatched_at - accepted.accepted_at)},
                        {"slack_ms", milliseconds_text(accepted.latest_start - accepted.dispatched_at)},
                        {"took_ms", milliseconds_text(time_at_server(accepted))},
                        {"expected_ms", milliseconds_text(accepted.baseline_service_time)},
                        {"slowness", std::to_string(std::lround(accepted.slowness * percent)) + '%'},
                        {"running", std::to_string(accepted.concurrency_at_start)}});
}

run_response run_executor::make_final_answer(const accepted_run& accepted, const http_response& response,
                                             bool refused) const {
    run_response result;
    result.response = response;
    result.service_time = time_at_server(accepted);
    if (refused) {
        result.outcome = verdict::not_run;
        result.reason = refusal::server_refused;
    } else if (response.status < first_server_error_status) {
        result.outcome = verdict::ran;
    }
    return result;
}

void run_executor::on_failed(const server_failed& event) {
    const accepted_run* accepted = m_state.runs.find(event.run);
    if (accepted == nullptr) {
        return;
    }
    if (event.kind == server_failure::connect_failed) {
        m_state.load.on_unreachable(m_state.now());
        m_drain.on_server_down();
        refuse(event.run, refusal::server_down);
    } else {
        m_state.load.on_incomplete(time_at_server(*accepted), m_state.runs.load(m_state.now()).in_flight);
        m_state.load.on_lost(m_state.now());
        complete(event.run, {});
    }
    on_run_ended();
}

void run_executor::on_server_ended() {
    m_state.load.on_unreachable(m_state.now());
    m_drain.on_server_down();
}

void run_executor::on_deadline(run_id id) {
    accepted_run& accepted = *m_state.runs.find(id);
    if (!accepted.at_server) {
        refuse(id, refusal::deadline);
        on_run_ended();
        return;
    }
    if (accepted.idempotent) {
        cancel_at_server(accepted);
        complete(id, {});
        on_run_ended();
        return;
    }
    m_state.load.on_incomplete(time_at_server(accepted), m_state.runs.load(m_state.now()).in_flight);
    accepted.deadline_passed = true;
    accepted.timer.call_at(m_state.timers, accepted.deadline + late_result_timeout,
                           [this, id] { on_late_result_timeout(id); });
    if (const auto link = std::exchange(accepted.reply_to, std::nullopt); link) {
        run_response unknown;
        unknown.attempt = accepted.attempt;
        m_state.send_answer(*link, std::move(unknown));
    }
}

void run_executor::on_late_result_timeout(run_id id) {
    m_state.outbox.emit(cancel_run{id});
    complete(id, {});
    on_run_ended();
}

void run_executor::cancel_at_server(accepted_run& accepted) {
    m_state.load.on_incomplete(time_at_server(accepted), m_state.runs.load(m_state.now()).in_flight);
    m_state.outbox.emit(cancel_run{accepted.id});
}

void run_executor::on_cancel(const attempt_id& attempt) {
    if (const accepted_run* accepted = m_state.runs.find(attempt); accepted != nullptr) {
        abandon(accepted->id, true);
        on_run_ended();
    }
}

void run_executor::on_link_closed(link_id link) {
    for (const run_id id : m_state.runs.awaiting_reply_on(link)) {
        abandon(id, false);
    }
    on_run_ended();
}

void run_executor::abandon(run_id id, bool answer_wanted) {
    accepted_run& accepted = *m_state.runs.find(id);
    if (!accepted.at_server) {
        if (!answer_wanted) {
            accepted.reply_to.reset();
        }
        refuse(id, refusal::cancelled);
        return;
    }
    accepted.reply_to.reset();
    if (accepted.idempotent) {
        cancel_at_server(accepted);
        complete(id, {});
    }
}

void run_executor::refuse(run_id id, refusal reason) {
    run_response refused;
    refused.outcome = verdict::not_run;
    refused.reason = reason;
    if (reason == refusal::rate_limited) {
        refused.retry_after = m_state.pacer.wait(m_state.queue.size(), m_state.now());
    } else if (reason == refusal::quarantined) {
        const http_request& request = m_state.runs.find(id)->request;
        refused.retry_after =
            m_state.suspects.quarantine_left(m_state.identity.service, request, m_state.now());
    } else if (has_retry_after(reason)) {
        refused.retry_after = m_state.jittered_retry_after();
    }
    complete(id, std::move(refused));
}

void run_executor::complete(run_id id, run_response final_answer) {
    m_state.queue.remove(id);
    const accepted_run accepted = m_state.runs.remove(id);
    final_answer.attempt = accepted.attempt;

    m_state.ledger.close(accepted.attempt, final_answer);
    if (accepted.key) {
        m_state.keys.close(*accepted.key, final_answer, m_state.now() + key_retention());
    }
    if (accepted.reply_to) {
        m_state.send_answer(*accepted.reply_to, std::move(final_answer));
    }
}

duration run_executor::key_retention() const {
    // A repeat that was sent within the key memory may wait at its entry until its deadline and then in the
    // network until its permit expires.
    const service_plan fallback;
    const service_plan& service = m_state.service() != nullptr ? *m_state.service() : fallback;
    return service.key_memory + service.deadline + permit_lifetime;
}

void run_executor::on_run_ended() {
    release_suspect();
    start_queued();
    m_drain.stop_if_drained();
}

} // namespace cornelpier
