#include "cornelpier/owner/run_table.hpp"

#include <algorithm>
#include <utility>

namespace cornelpier {

namespace {

std::size_t body_size(const accepted_run& accepted) {
    return accepted.request.body ? accepted.request.body->size() : 0;
}

} // namespace

accepted_run& run_table::add(accepted_run accepted) {
    accepted.id = run_id{++m_last_id};
    m_by_attempt.emplace(accepted.attempt, accepted.id);
    m_queued_bytes += body_size(accepted);
    const run_id id = accepted.id;
    return m_runs.emplace(id, std::move(accepted)).first->second;
}

accepted_run run_table::remove(run_id id) {
    const auto it = m_runs.find(id);
    accepted_run accepted = std::move(it->second);
    m_runs.erase(it);
    m_by_attempt.erase(accepted.attempt);
    if (accepted.at_server) {
        --m_at_server_count;
    } else {
        m_queued_bytes -= body_size(accepted);
    }
    return accepted;
}

void run_table::mark_dispatched(accepted_run& accepted, time_point now) {
    accepted.at_server = true;
    accepted.dispatched_at = now;
    ++m_at_server_count;
    m_queued_bytes -= body_size(accepted);
}

accepted_run* run_table::find(run_id id) {
    const auto it = m_runs.find(id);
    return it == m_runs.end() ? nullptr : &it->second;
}

accepted_run* run_table::find(const attempt_id& attempt) {
    const auto it = m_by_attempt.find(attempt);
    return it == m_by_attempt.end() ? nullptr : find(it->second);
}

std::vector<run_id> run_table::awaiting_reply_on(link_id link) const {
    return select_ids([link](const accepted_run& it) { return it.reply_to == link; });
}

std::vector<run_id> run_table::queued() const {
    return select_ids([](const accepted_run& it) { return !it.at_server; });
}

std::vector<run_id> run_table::at_server_youngest_first() const {
    std::vector<run_id> result = select_ids([](const accepted_run& it) { return it.at_server; });
    std::ranges::stable_sort(result, std::ranges::greater{},
                             [this](run_id id) { return m_runs.at(id).dispatched_at; });
    return result;
}

std::size_t run_table::suspects() const {
    return static_cast<std::size_t>(
        std::ranges::count_if(m_runs, [](const auto& it) { return it.second.is_suspect; }));
}

bool run_table::has_suspect_at_server() const {
    return std::ranges::any_of(m_runs,
                               [](const auto& it) { return it.second.is_suspect && it.second.at_server; });
}

std::vector<run_id> run_table::queued_suspects() const {
    return select_ids([](const accepted_run& it) { return it.is_suspect && !it.at_server; });
}

std::vector<run_id> run_table::queued_past_deadline(time_point now) const {
    return select_ids([now](const accepted_run& it) { return !it.at_server && it.deadline <= now; });
}

template <typename Predicate>
std::vector<run_id> run_table::select_ids(Predicate wanted) const {
    std::vector<run_id> result;
    for (const auto& [id, accepted] : m_runs) {
        if (wanted(accepted)) {
            result.push_back(id);
        }
    }
    return result;
}

std::vector<duration> run_table::remaining_service_times(time_point now) const {
    constexpr duration::rep overrun_divisor = 4;
    std::vector<duration> result;
    for (const auto& [id, accepted] : m_runs) {
        if (accepted.at_server) {
            const duration age = now - accepted.dispatched_at;
            const duration expected =
                from_seconds(to_seconds(accepted.baseline_service_time) * accepted.slowness);
            result.push_back(std::max(expected - age, age / overrun_divisor));
        }
    }
    return result;
}

server_load run_table::load(time_point now) const {
    server_load result;
    result.in_flight = static_cast<std::uint32_t>(m_at_server_count);
    duration ages{};
    duration::rep run_count = 0;
    for (const auto& [id, accepted] : m_runs) {
        if (accepted.at_server && !accepted.deadline_passed) {
            ages += now - accepted.dispatched_at;
            ++run_count;
        }
    }
    if (run_count > 0) {
        result.mean_age = ages / run_count;
    }
    return result;
}

} // namespace cornelpier
