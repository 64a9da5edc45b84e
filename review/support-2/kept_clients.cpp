#include "review/support-2/kept_clients.hpp"

#include <thread>

namespace review {

void lost_check::add_run(const std::string& id, const std::string& target, bool sound) {
    m_log.add("target of " + target + " runs " + id);
    const std::lock_guard lock(m_mutex);
    (sound ? m_sound_runs : m_other_runs).insert(id);
}

void lost_check::add_answer(int status) {
    const std::lock_guard lock(m_mutex);
    ++m_answers[status];
}

void lost_check::add_cut(const std::string& id, const std::string& vm) {
    const std::lock_guard lock(m_mutex);
    m_cuts.push_back({id, vm});
}

void lost_check::run_client(const fleet& nodes, std::size_t vm, const kept_client_options& options,
                            steady::time_point end) {
    while (steady::now() < end) {
        client_connection connection{nodes.caller_address(vm)};
        bool is_kept = false;
        while (connection.connected() && steady::now() < end) {
            if (!send_next(connection, is_kept, nodes.text(vm), options)) {
                break;
            }
            is_kept = true;
            std::this_thread::sleep_for(options.pause);
        }
        std::this_thread::sleep_for(options.pause);
    }
}

/// @return whether the connection can be used again.
bool lost_check::send_next(client_connection& connection, bool is_kept, const std::string& vm,
                           const kept_client_options& options) {
    const auto until = steady::now() + options.deadline;
    const auto id = new_attempt_id();
    const std::string length =
        options.body.empty() ? "" : "Content-Length: " + std::to_string(options.body.size()) + "\r\n";
    m_log.add(options.method + ' ' + options.path + ' ' + id + " sent to " + vm);
    const bool sent = connection.send(
        make_request(options.method, options.path, id, options.deadline, length) + options.body, until);
    const auto answer = connection.read_answer(until);
    m_log.add("answer to " + id + ": " + (answer.status == 0 ? "none" : std::to_string(answer.status)));
    if (answer.status == 0) {
        // Neither the client's time nor the route's was over.
        if (sent && is_kept && steady::now() < until) {
            add_cut(id, vm);
        }
        return false;
    }
    add_answer(answer.status);
    return find_header(answer.head, "connection") != "close";
}

std::size_t lost_check::write() {
    const std::lock_guard lock(m_mutex);
    for (const auto& [status, count] : m_answers) {
        m_log.add("ordinary clients, answers with status " + std::to_string(status) + ": " +
                  std::to_string(count));
    }
    std::size_t result = 0;
    for (const auto& it : m_cuts) {
        const bool counts = m_sound_runs.contains(it.id) && !m_other_runs.contains(it.id);
        m_log.add("no answer to " + it.id + " on a kept connection to " + it.vm +
                  (counts ? ", which a sound target has run" : ""));
        result += counts ? 1 : 0;
    }
    return result;
}

} // namespace review
