#include "cornelpier/owner/run_table.hpp"

#include <algorithm>
#include <utility>

namespace cornelpier {

namespace {

std::size_t body_size(const accepted_run& entry) {
    return entry.request.body ? entry.request.body->size() : 0;
}

} // namespace

accepted_run& run_table::add(accepted_run entry) {
    entry.id = run_id{++m_last_id};
    m_by_attempt.emplace(entry.attempt, entry.id);
    m_queued_bytes += body_size(entry);
    const run_id id = entry.id;
    return m_runs.emplace(id, std::move(entry)).first->second;
}

accepted_run run_table::take(run_id id) {
    const auto it = m_runs.find(id);
    accepted_run entry = std::move(it->second);
    m_runs.erase(it);
    m_by_attempt.erase(entry.attempt);
    if (entry.at_server) {
        --m_at_server;
    } else {
        m_queued_bytes -= body_size(entry);
    }
    return entry;
}

void run_table::mark_handed_over(accepted_run& entry, time_point now) {
    entry.at_server = true;
    entry.handed_over = now;
    ++m_at_server;
    m_queued_bytes -= body_size(entry);
}

accepted_run* run_table::find(run_id id) {
    const auto it = m_runs.find(id);
    return it == m_runs.end() ? nullptr : &it->second;
}

accepted_run* run_table::find(const attempt_id& attempt) {
    const auto it = m_by_attempt.find(attempt);
    return it == m_by_attempt.end() ? nullptr : find(it->second);
}

std::vector<run_id> run_table::waiting_on(link_id link) const {
    return ids_of([link](const accepted_run& it) { return it.reply_to == link; });
}

std::vector<run_id> run_table::queued() const {
    return ids_of([](const accepted_run& it) { return !it.at_server; });
}

std::vector<run_id> run_table::overdue_in_queue(time_point now) const {
    return ids_of([now](const accepted_run& it) { return !it.at_server && it.deadline <= now; });
}

template <typename Predicate>
std::vector<run_id> run_table::ids_of(Predicate wanted) const {
    std::vector<run_id> result;
    for (const auto& [id, entry] : m_runs) {
        if (wanted(entry)) {
            result.push_back(id);
        }
    }
    return result;
}

std::vector<duration> run_table::remaining_times(time_point now) const {
    constexpr duration::rep overdue_divisor = 4;
    std::vector<duration> result;
    for (const auto& [id, entry] : m_runs) {
        if (entry.at_server) {
            const duration age = now - entry.handed_over;
            const duration expected = from_seconds(to_seconds(entry.work) * entry.slowness);
            result.push_back(std::max(expected - age, age / overdue_divisor));
        }
    }
    return result;
}

server_load run_table::load(time_point now) const {
    server_load result;
    result.in_flight = static_cast<std::uint32_t>(m_at_server);
    duration ages{};
    duration::rep counted = 0;
    for (const auto& [id, entry] : m_runs) {
        if (entry.at_server && !entry.given_up) {
            ages += now - entry.handed_over;
            ++counted;
        }
    }
    if (counted > 0) {
        result.mean_age = ages / counted;
    }
    return result;
}

} // namespace cornelpier
