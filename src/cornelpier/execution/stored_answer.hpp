#pragma once

#include "cornelpier/message/traffic_messages.hpp"

#include <cstddef>
#include <optional>

namespace cornelpier {

/// Largest response body that is kept for a repeat, in bytes.
inline constexpr std::size_t max_stored_body_bytes = std::size_t{64} * 1024;

/// What is kept of the final answer to an attempt.
struct stored_answer {
    verdict outcome = verdict::unknown;
    refusal reason = refusal::none;
    std::optional<http_response> response;
    duration service_time{};

    /// @return the answer to a repeat. A response that was too large to keep is replaced by status 409
    /// without a body; its verdict stays `ran`.
    [[nodiscard]] run_response replay(const attempt_id& attempt) const;
};

/// Bounds the memory of the stored responses of one ledger.
class answer_storage {
  public:
    /// @param capacity bytes of all responses together.
    explicit answer_storage(std::size_t capacity) : m_capacity_bytes(capacity) {}

    /// @return the part of the answer that may be kept: without the response if that is too large or the
    /// storage is full.
    stored_answer store(const run_response& final_answer);

    /// Gives back what `store` took.
    void release(const stored_answer& stored);

  private:
    std::size_t m_capacity_bytes;
    std::size_t m_used_bytes = 0;
};

} // namespace cornelpier
