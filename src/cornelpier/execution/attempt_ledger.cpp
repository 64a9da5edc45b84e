#include "cornelpier/execution/attempt_ledger.hpp"

namespace cornelpier {

namespace {

constexpr std::size_t max_stored_bytes = std::size_t{12} * 1024 * 1024;

} // namespace

attempt_ledger::attempt_ledger(std::size_t capacity) : m_capacity(capacity), m_storage(max_stored_bytes) {}

void attempt_ledger::expire(time_point now) {
    while (!m_expiries.empty() && m_expiries.begin()->first < now) {
        const auto it = m_records.find(m_expiries.begin()->second);
        m_storage.release(*it->second.final_answer);
        m_records.erase(it);
        m_expiries.erase(m_expiries.begin());
    }
}

bool attempt_ledger::open(const attempt_id& attempt, time_point permit_expiry) {
    if (full()) {
        return false;
    }
    return m_records.try_emplace(attempt, record{permit_expiry + late_query_window, std::nullopt}).second;
}

void attempt_ledger::close(const attempt_id& attempt, const run_response& final_answer) {
    const auto it = m_records.find(attempt);
    if (it == m_records.end() || it->second.final_answer) {
        return;
    }
    it->second.final_answer = m_storage.store(final_answer);
    m_expiries.emplace(it->second.keep_until, attempt);
}

bool attempt_ledger::refuse(const attempt_id& attempt, time_point permit_expiry) {
    if (!open(attempt, permit_expiry)) {
        return false;
    }
    run_response refused;
    refused.attempt = attempt;
    refused.outcome = verdict::not_run;
    refused.reason = refusal::duplicate;
    close(attempt, refused);
    return true;
}

const stored_answer* attempt_ledger::find(const attempt_id& attempt) const {
    const auto it = m_records.find(attempt);
    if (it == m_records.end() || !it->second.final_answer) {
        return nullptr;
    }
    return &*it->second.final_answer;
}

std::optional<time_point> attempt_ledger::next_expiry() const {
    if (m_expiries.empty()) {
        return std::nullopt;
    }
    return m_expiries.begin()->first;
}

} // namespace cornelpier
