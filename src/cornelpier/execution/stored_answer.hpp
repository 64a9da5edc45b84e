#pragma once

#include "cornelpier/message/traffic_messages.hpp"

#include <cstddef>
#include <optional>

namespace cornelpier {

/// Largest response body that is stored for repeats.
inline constexpr std::size_t max_stored_body_bytes = std::size_t{64} * 1024;

/// The part of a final answer that is stored for repeats.
struct stored_answer {
    verdict outcome = verdict::unknown;
    refusal reason = refusal::none;
    std::optional<http_response> response;
    duration service_time{};

    /// @return the answer to a repeat, without a response if that was not stored; the verdict stays `ran`.
    [[nodiscard]] run_response replay(const attempt_id& attempt) const;
};

/// Limits the memory of the responses that one ledger stores.
class answer_storage {
  public:
    /// @param capacity total size of the responses in bytes.
    explicit answer_storage(std::size_t capacity) : m_capacity_bytes(capacity) {}

    /// @return the answer to store, without its response if that is too large or the storage is full.
    stored_answer store(const run_response& final_answer);

    /// Frees the memory that `store` reserved.
    void release(const stored_answer& stored);

  private:
    std::size_t m_capacity_bytes;
    std::size_t m_used_bytes = 0;
};

} // namespace cornelpier
