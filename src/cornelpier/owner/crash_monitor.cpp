#include "cornelpier/owner/crash_monitor.hpp"

#include <algorithm>
#include <utility>

namespace cornelpier {

namespace {

constexpr std::size_t max_logged_runs = 16;

} // namespace

void crash_monitor::on_connection_lost(run_id run) {
    if (m_state.runs.find(run) == nullptr) {
        return;
    }
    if (m_reported.contains(run)) {
        m_executor.on_failed({run, server_failure::connection_lost});
        return;
    }
    m_lost.push_back(run);
    if (!m_checking) {
        begin_check();
    }
}

void crash_monitor::begin_check() {
    m_checking = true;
    m_exposed.clear();
    for (const run_id id : m_state.runs.at_server_youngest_first()) {
        const accepted_run& it = *m_state.runs.find(id);
        m_exposed.push_back({id, it.trace, m_state.now() - it.dispatched_at, it.reply_to});
    }
    m_state.outbox.emit(check_server{});
}

void crash_monitor::on_server_checked(server_presence presence) {
    m_checking = false;
    // Runs that were answered or given up meanwhile are not in the table any more.
    std::erase_if(m_exposed, [this](const exposed_run& it) { return m_state.runs.find(it.run) == nullptr; });
    if (presence == server_presence::absent && !is_leaving()) {
        report_crash();
    }
    m_exposed.clear();
    for (const run_id run : std::exchange(m_lost, {})) {
        m_executor.on_failed({run, server_failure::connection_lost});
    }
}

/// A server that leaves ends without a fault.
bool crash_monitor::is_leaving() const {
    return m_state.server_leaving || m_state.lifecycle.has_cause(drain_cause::server_draining) ||
           m_state.lifecycle.has_cause(drain_cause::vm_leaving) || m_state.service() == nullptr;
}

void crash_monitor::report_crash() {
    log_crash();
    m_state.outbox.increment(metric::server_crashed);
    m_executor.on_server_ended();
    m_reported.clear();
    std::set<link_id> links;
    for (const auto& it : m_exposed) {
        m_reported.insert(it.run);
        if (it.reply_to) {
            links.insert(*it.reply_to);
        }
    }

    const service_id& service = m_state.identity.service;
    const auto causes = possible_causes();
    const crash_id crash{m_state.identity.process, ++m_crashes};
    log_quarantines(m_state.suspects.on_crash(crash, service, causes, m_state.now()));
    const suspect_update update = m_state.suspects.make_update(service, causes, m_state.now());
    if (update.suspects.empty()) {
        return;
    }
    for (const link_id it : links) {
        m_state.outbox.send(it, update);
    }
    inform_owners(update);
    m_executor.on_suspects_changed();
}

std::vector<request_fingerprint> crash_monitor::possible_causes() const {
    std::vector<request_fingerprint> result;
    for (const auto& it : m_exposed) {
        const request_fingerprint fingerprint = fingerprint_of(it.trace);
        const bool is_listed = std::ranges::find(result, fingerprint) != result.end();
        if (!is_listed && !m_successes.contains(fingerprint, m_state.now())) {
            result.push_back(fingerprint);
        }
    }
    return result;
}

void crash_monitor::on_success(const run_trace& trace) {
    m_successes.add(trace, m_state.now());
    const auto fingerprint = m_state.suspects.find(trace.head, trace.body);
    if (!fingerprint) {
        return;
    }
    const suspicion before = m_state.suspects.on_success(*fingerprint, m_state.now());
    if (before != suspicion::none) {
        m_executor.on_suspects_changed();
    }
    if (before != suspicion::quarantined) {
        return;
    }
    m_state.outbox.log(event_number::quarantine_lifted, {{"fingerprint", to_string(*fingerprint)}});
    // Any entry may reject the request without asking an owner.
    const suspect_update update =
        m_state.suspects.make_update(m_state.identity.service, {*fingerprint}, m_state.now());
    m_state.outbox.broadcast(update);
    inform_owners(update);
}

void crash_monitor::inform_owners(const suspect_update& update) {
    if (m_publisher) {
        m_publisher(update);
    }
}

void crash_monitor::on_update(const suspect_update& update) {
    if (update.service != m_state.identity.service) {
        return;
    }
    const suspect_changes changes = m_state.suspects.apply(update, m_state.now());
    log_quarantines(changes);
    if (changes.has_news) {
        m_executor.on_suspects_changed();
    }
}

void crash_monitor::inform(link_id link) {
    if (m_state.suspects.empty()) {
        return;
    }
    suspect_update update = m_state.suspects.make_update(m_state.identity.service, m_state.now());
    if (!update.suspects.empty()) {
        m_state.outbox.send(link, std::move(update));
    }
}

void crash_monitor::log_crash() const {
    std::string runs;
    for (std::size_t n = 0; n < std::min(m_exposed.size(), max_logged_runs); ++n) {
        const exposed_run& it = m_exposed[n];
        runs += (n == 0 ? "" : ", ") + it.trace.label + ' ' + to_string(fingerprint_of(it.trace)) + ' ' +
                milliseconds_text(it.age);
    }
    m_state.outbox.log(event_number::server_crashed,
                       {{"in_progress", std::to_string(m_exposed.size())}, {"runs", runs}});
}

void crash_monitor::log_quarantines(const suspect_changes& changes) {
    for (const auto& it : changes.quarantined) {
        m_state.outbox.log(event_number::request_quarantined, quarantine_fields(it));
    }
}

} // namespace cornelpier
