#include "cornelpier/owner/run_executor.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <string>
#include <utility>

namespace cornelpier {

namespace {

constexpr int first_server_error = 500;
constexpr int status_misdirected = 421;
constexpr int status_too_many_requests = 429;
constexpr double percent = 100;

/// How long after its deadline a non-idempotent run may still bring its result to the ledger. Short enough
/// for the drain to wait for it.
constexpr duration late_result_time = std::chrono::seconds{10};

/// Keeps a full queue of the largest bodies within the memory of a node.
constexpr std::size_t max_queued_bytes = std::size_t{16} * 1024 * 1024;

bool is_refusal(const service_plan* service, int status) {
    return service != nullptr &&
           std::ranges::find(service->refusal_statuses, status) != service->refusal_statuses.end();
}

bool carries_retry_advice(refusal reason) {
    return reason == refusal::overloaded || reason == refusal::deadline || reason == refusal::server_down;
}

} // namespace

bool run_executor::may_start() const {
    return m_state.runs.at_server() < m_state.run_limit();
}

bool run_executor::has_room(request_class priority) const {
    if (may_start() && m_state.queue.empty()) {
        return true;
    }
    return m_state.runs.queued_bytes() < max_queued_bytes && m_state.queue.accepts(priority);
}

bool run_executor::is_too_late(const owned_run& entry) const {
    const duration left = entry.deadline - m_state.now();
    if (left <= duration::zero()) {
        return true;
    }
    if (!entry.route.empty()) {
        return left < entry.work;
    }
    // An idle server always gets a run: without one, a service time above the deadline could never fall.
    const server_load load = m_state.runs.load(m_state.now());
    return load.in_flight > 0 && left < m_state.load.current_service_time(load);
}

duration run_executor::age(const owned_run& entry) const {
    return m_state.now() - entry.handed_over;
}

void run_executor::accept(link_id link, const run& message, time_point deadline,
                          std::optional<std::string> key) {
    owned_run entry;
    entry.attempt = message.attempt;
    entry.request = message.request;
    entry.idempotent = message.idempotent;
    entry.key = std::move(key);
    entry.depth = message.depth;
    entry.outer_retry = message.outer_retry;
    entry.instance = message.instance;
    entry.deadline = deadline;
    entry.reply_to = link;

    entry.priority = message.priority;
    entry.accepted_at = m_state.now();
    if (!message.route.empty()) {
        entry.route = message.route;
        entry.work = m_state.work.expected_work(message.route, message.objective);
        entry.latest_start = m_state.now() + message.objective - entry.work;
    }

    owned_run& added = m_state.runs.add(std::move(entry));
    const run_id id = added.id;

    if (may_start() && m_state.queue.empty() && !must_hold(added)) {
        hand_over(added);
        return;
    }
    // Too little time for the work is as good as none; the caller learns it at once.
    const time_point last_start = deadline - added.work;
    added.timer.call_at(m_state.timers, last_start, [this, id] { on_deadline(id); });
    const bool is_short = !added.route.empty() && m_state.is_short(added.work);
    const time_point late_after = is_short ? last_start : added.latest_start;
    if (const auto offered = m_state.queue.offer(id, message.priority, added.latest_start, late_after);
        offered.shed) {
        conclude_refused(*offered.shed, refusal::overloaded);
    }
    // A slot may be kept for this one while others wait.
    start_queued();
}

bool run_executor::must_hold(const owned_run& entry) const {
    return !entry.route.empty() && m_state.slowness.should_delay(entry.work, m_state.now());
}

/// The queue offers a late run only if none that is in time waits.
bool run_executor::must_leave_room(const owned_run& entry) const {
    const bool is_late = !entry.route.empty() && entry.latest_start < m_state.now();
    return is_late && !m_state.is_short(entry.work) &&
           !m_state.late_runs.admits_late(m_state.runs.at_server(), m_state.run_limit(), m_state.now());
}

bool run_executor::is_holding() const {
    if (!may_start()) {
        return false;
    }
    const auto id = m_state.queue.next(m_state.now());
    return id && must_hold(*m_state.runs.find(*id));
}

void run_executor::hand_over(owned_run& entry) {
    if (!entry.route.empty() && entry.latest_start >= m_state.now()) {
        m_state.late_runs.on_timely_start(m_state.now());
    }
    m_state.runs.mark_handed_over(entry, m_state.now());
    entry.timer.call_at(m_state.timers, entry.deadline, [this, id = entry.id] { on_deadline(id); });
    entry.slowness = m_state.slowness.current();
    entry.running_at_start = static_cast<std::uint32_t>(m_state.runs.at_server());

    start_run action;
    action.run = entry.id;
    action.request = std::move(entry.request);
    action.fresh_connection = !entry.idempotent;
    action.deadline = entry.deadline - m_state.now();
    action.timeout = action.deadline;
    if (!entry.idempotent) {
        action.timeout += late_result_time;
    }
    action.depth = entry.depth;
    action.outer_retry = entry.outer_retry;
    action.instance = expected_instance(entry);
    m_state.outbox.act(std::move(action));
}

/// A run may be meant for a process that has been replaced since. Any process of the own server will do, but
/// it is named, so that the run does not start at a server that was given the address meanwhile.
std::string run_executor::expected_instance(const owned_run& entry) const {
    const bool is_known = !m_state.server_instance.empty();
    return is_known && !entry.instance.empty() ? m_state.server_instance : entry.instance;
}

void run_executor::on_instance(const std::string& instance) {
    if (instance.empty() || instance == m_state.server_instance) {
        return;
    }
    m_state.server_instance = instance;
    m_state.slowness.on_new_server(m_state.now());
    m_state.outbox.record(event_number::server_instance_seen, {{"instance", instance}});
}

void run_executor::start_queued() {
    while (may_start()) {
        const auto id = m_state.queue.next(m_state.now());
        if (!id) {
            return;
        }
        owned_run& entry = *m_state.runs.find(*id);
        if (is_too_late(entry)) {
            conclude_refused(*id, refusal::deadline);
            continue;
        }
        if (must_hold(entry) || must_leave_room(entry)) {
            return;
        }
        m_state.queue.remove(*id);
        hand_over(entry);
    }
}

void run_executor::refuse_queued() {
    for (const run_id id : m_state.runs.queued()) {
        conclude_refused(id, refusal::draining);
    }
    after_end();
}

void run_executor::refuse_overdue() {
    for (const run_id id : m_state.runs.overdue_in_queue(m_state.now())) {
        conclude_refused(id, refusal::deadline);
    }
    after_end();
}

void run_executor::on_answered(const server_answered& event) {
    const owned_run* entry = m_state.runs.find(event.run);
    if (entry == nullptr) {
        m_state.outbox.count(metric::answer_discarded);
        return;
    }
    const int status = event.response.status;
    const bool refused = event.refused || is_refusal(m_state.service(), status);
    if (status == status_misdirected) {
        m_state.server_instance.clear();
    }
    const bool error = status >= first_server_error || status == status_too_many_requests || refused;
    const std::uint32_t in_flight = m_state.runs.load(m_state.now()).in_flight;
    const duration took = from_seconds(to_seconds(age(*entry)) / entry->slowness);
    m_state.load.on_answered(took, error, in_flight, m_state.now());
    record_end(*entry, status);
    if (!error && !entry->route.empty()) {
        m_state.crowding.add(entry->running_at_start, m_state.load.limit(), age(*entry),
                             from_seconds(to_seconds(entry->work) * entry->slowness));
        m_state.work.add(entry->route, age(*entry), entry->slowness);
    }
    m_lifecycle.on_server_up();

    conclude(event.run, judge(*entry, event.response, refused));
    after_end();
}

void run_executor::record_end(const owned_run& entry, int status) {
    if (entry.route.empty()) {
        return;
    }
    m_state.outbox.record(event_number::run_ended,
                          {{"route", entry.route},
                           {"status", std::to_string(status)},
                           {"waited_ms", milliseconds_text(entry.handed_over - entry.accepted_at)},
                           {"slack_ms", milliseconds_text(entry.latest_start - entry.handed_over)},
                           {"took_ms", milliseconds_text(age(entry))},
                           {"expected_ms", milliseconds_text(entry.work)},
                           {"slowness", std::to_string(std::lround(entry.slowness * percent)) + '%'},
                           {"running", std::to_string(entry.running_at_start)}});
}

answer run_executor::judge(const owned_run& entry, const http_response& response, bool refused) const {
    answer result;
    result.response = response;
    result.served_in = age(entry);
    if (refused) {
        result.outcome = verdict::not_run;
        result.reason = refusal::server_refused;
    } else if (response.status < first_server_error) {
        result.outcome = verdict::ran;
    }
    return result;
}

void run_executor::on_failed(const server_failed& event) {
    const owned_run* entry = m_state.runs.find(event.run);
    if (entry == nullptr) {
        return;
    }
    if (event.kind == server_failure::connect_failed) {
        m_state.load.on_unreachable(m_state.now());
        m_lifecycle.on_server_down();
        conclude_refused(event.run, refusal::server_down);
    } else {
        m_state.load.on_incomplete(age(*entry), m_state.runs.load(m_state.now()).in_flight);
        m_state.load.on_lost(m_state.now());
        conclude(event.run, {});
    }
    after_end();
}

void run_executor::on_deadline(run_id id) {
    owned_run& entry = *m_state.runs.find(id);
    if (!entry.at_server) {
        conclude_refused(id, refusal::deadline);
        after_end();
        return;
    }
    if (entry.idempotent) {
        cancel_at_server(entry);
        conclude(id, {});
        after_end();
        return;
    }
    m_state.load.on_incomplete(age(entry), m_state.runs.load(m_state.now()).in_flight);
    entry.given_up = true;
    entry.timer.call_at(m_state.timers, entry.deadline + late_result_time, [this, id] { on_late_limit(id); });
    if (const auto link = std::exchange(entry.reply_to, std::nullopt); link) {
        answer unknown;
        unknown.attempt = entry.attempt;
        m_state.deliver(*link, std::move(unknown));
    }
}

void run_executor::on_late_limit(run_id id) {
    m_state.outbox.act(cancel_run{id});
    conclude(id, {});
    after_end();
}

void run_executor::cancel_at_server(owned_run& entry) {
    m_state.load.on_incomplete(age(entry), m_state.runs.load(m_state.now()).in_flight);
    m_state.outbox.act(cancel_run{entry.id});
}

void run_executor::on_cancel(const attempt_id& attempt) {
    if (const owned_run* entry = m_state.runs.find(attempt); entry != nullptr) {
        abandon(entry->id, true);
        after_end();
    }
}

void run_executor::on_link_closed(link_id link) {
    for (const run_id id : m_state.runs.waiting_on(link)) {
        abandon(id, false);
    }
    after_end();
}

void run_executor::abandon(run_id id, bool answer_wanted) {
    owned_run& entry = *m_state.runs.find(id);
    if (!entry.at_server) {
        if (!answer_wanted) {
            entry.reply_to.reset();
        }
        conclude_refused(id, refusal::cancelled);
        return;
    }
    entry.reply_to.reset();
    if (entry.idempotent) {
        cancel_at_server(entry);
        conclude(id, {});
    }
}

void run_executor::conclude_refused(run_id id, refusal reason) {
    answer refused;
    refused.outcome = verdict::not_run;
    refused.reason = reason;
    if (carries_retry_advice(reason)) {
        refused.retry_after = m_state.retry_after();
    }
    conclude(id, std::move(refused));
}

void run_executor::conclude(run_id id, answer final_answer) {
    m_state.queue.remove(id);
    const owned_run entry = m_state.runs.take(id);
    final_answer.attempt = entry.attempt;

    m_state.ledger.close(entry.attempt, final_answer);
    if (entry.key) {
        m_state.keys.close(*entry.key, final_answer, m_state.now() + key_retention());
    }
    if (entry.reply_to) {
        m_state.deliver(*entry.reply_to, std::move(final_answer));
    }
}

duration run_executor::key_retention() const {
    // A repeat that was sent within the key memory may wait at its entry until its deadline and then in the
    // network until its permit expires.
    const service_plan fallback;
    const service_plan& service = m_state.service() != nullptr ? *m_state.service() : fallback;
    return service.key_memory + service.deadline + permit_lifetime;
}

void run_executor::after_end() {
    start_queued();
    m_lifecycle.check_finished();
}

} // namespace cornelpier
