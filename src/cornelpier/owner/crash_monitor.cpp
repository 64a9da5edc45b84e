#include "cornelpier/owner/crash_monitor.hpp"

#include <algorithm>

namespace cornelpier {

namespace {

constexpr std::size_t max_logged_runs = 16;

} // namespace

void crash_monitor::on_connection_lost() {
    if (m_checking) {
        return;
    }
    m_checking = true;
    m_exposed.clear();
    for (const accepted_run* it : m_state.runs.at_server_youngest_first()) {
        m_exposed.push_back({it->trace, m_state.now() - it->dispatched_at});
    }
    m_state.outbox.emit(check_server{});
}

void crash_monitor::on_server_checked(server_presence presence) {
    m_checking = false;
    if (presence == server_presence::absent) {
        log_crash();
    }
    m_exposed.clear();
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

} // namespace cornelpier
