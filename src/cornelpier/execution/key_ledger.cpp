#include "cornelpier/execution/key_ledger.hpp"

#include "cornelpier/base/hash.hpp"

namespace cornelpier {

namespace {

constexpr std::size_t max_stored_bytes = std::size_t{12} * 1024 * 1024;

} // namespace

std::uint64_t fingerprint(const http_request& request) {
    // Neither method nor path can contain a line feed, so different requests never yield the same text.
    const std::string_view body = request.body ? std::string_view{*request.body} : std::string_view{};
    return stable_hash({request.method, "\n", request.path, "\n", body});
}

key_ledger::key_ledger(std::size_t capacity) : m_capacity(capacity), m_storage(max_stored_bytes) {}

void key_ledger::expire(time_point now) {
    while (!m_expiries.empty() && m_expiries.begin()->first < now) {
        erase(m_records.find(m_expiries.begin()->second));
        m_expiries.erase(m_expiries.begin());
    }
}

key_ledger::lookup_result key_ledger::lookup(const std::string& key,
                                             std::uint64_t request_fingerprint) const {
    const auto it = m_records.find(key);
    if (it == m_records.end()) {
        return {};
    }
    if (it->second.request_fingerprint != request_fingerprint) {
        return {status::conflict, nullptr};
    }
    if (!it->second.final_answer) {
        return {status::running, nullptr};
    }
    return {status::answered, &*it->second.final_answer};
}

bool key_ledger::open(const std::string& key, std::uint64_t request_fingerprint) {
    if (full()) {
        return false;
    }
    if (!m_records.try_emplace(key, record{request_fingerprint, std::nullopt}).second) {
        return false;
    }
    m_key_bytes += key.size();
    return true;
}

void key_ledger::close(const std::string& key, const run_response& final_answer, time_point keep_until) {
    const auto it = m_records.find(key);
    if (it == m_records.end() || it->second.final_answer) {
        return;
    }
    if (final_answer.outcome == verdict::not_run) {
        erase(it);
        return;
    }
    it->second.final_answer = m_storage.store(final_answer);
    m_expiries.emplace(keep_until, key);
}

void key_ledger::erase(records::iterator it) {
    if (it->second.final_answer) {
        m_storage.release(*it->second.final_answer);
    }
    m_key_bytes -= it->first.size();
    m_records.erase(it);
}

} // namespace cornelpier
