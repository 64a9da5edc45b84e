#include "cornelpier/execution/stored_answer.hpp"

namespace cornelpier {

namespace {

std::size_t response_size(const http_response& response) {
    std::size_t size = response.body ? response.body->size() : 0;
    for (const auto& [name, value] : response.fields) {
        size += name.size() + value.size();
    }
    return size;
}

} // namespace

run_response stored_answer::replay(const attempt_id& attempt) const {
    run_response result;
    result.attempt = attempt;
    result.outcome = outcome;
    result.reason = reason;
    result.response = response;
    result.service_time = service_time;
    return result;
}

stored_answer answer_storage::store(const run_response& final_answer) {
    stored_answer stored{final_answer.outcome, final_answer.reason, std::nullopt, final_answer.service_time};
    if (!final_answer.response) {
        return stored;
    }
    const http_response& response = *final_answer.response;
    const std::size_t size = response_size(response);
    const bool too_large = response.body && response.body->size() > max_stored_body_bytes;
    if (too_large || m_used_bytes + size > m_capacity_bytes) {
        return stored;
    }
    m_used_bytes += size;
    stored.response = response;
    return stored;
}

void answer_storage::release(const stored_answer& stored) {
    if (stored.response) {
        m_used_bytes -= response_size(*stored.response);
    }
}

} // namespace cornelpier
