#pragma once

#include "cornelpier/base/units.hpp"
#include "cornelpier/execution/stored_answer.hpp"
#include "cornelpier/message/traffic_messages.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

namespace cornelpier {

/// Maximum number of keys in the ledger, and maximum total size of these keys.
inline constexpr std::size_t max_key_records = 20'000;
inline constexpr std::size_t max_key_bytes = std::size_t{4} * 1024 * 1024;

/// @return hash of method, path and body, which tells a repeat from a different request with the same key.
std::uint64_t fingerprint(const http_request& request);

/// Records idempotency keys and the final answers to their requests.
class key_ledger {
  public:
    /// @param capacity maximum number of keys.
    explicit key_ledger(std::size_t capacity = max_key_records);

    enum class status : std::uint8_t {
        absent,
        running,  ///< The first request is in progress.
        answered, ///< The answer to the first request is stored.
        conflict, ///< The key belongs to a request with another fingerprint.
    };

    /// Result of a lookup.
    struct lookup_result {
        status state = status::absent;
        const stored_answer* stored = nullptr; ///< Set if answered; valid until the ledger changes.
    };

    /// Removes the keys whose answers have expired. Keys of requests in progress stay.
    void expire(time_point now);

    [[nodiscard]] lookup_result lookup(const std::string& key, std::uint64_t request_fingerprint) const;

    /// Records the first request with a key as in progress.
    /// @return false if the ledger is full or already has the key.
    bool open(const std::string& key, std::uint64_t request_fingerprint);

    /// Records the final answer. Removes the record of a request that did not run, so that a repeat may run.
    /// @param keep_until time until which repeats get the answer.
    void close(const std::string& key, const run_response& final_answer, time_point keep_until);

    [[nodiscard]] bool full() const { return m_records.size() >= m_capacity || m_key_bytes >= max_key_bytes; }
    [[nodiscard]] std::size_t size() const { return m_records.size(); }

  private:
    struct record {
        std::uint64_t request_fingerprint = 0;
        std::optional<stored_answer> final_answer; ///< Unset while in progress.
    };
    using records = std::unordered_map<std::string, record>;

    void erase(records::iterator it);

    std::size_t m_capacity;
    records m_records;
    std::set<std::pair<time_point, std::string>> m_expiries;
    answer_storage m_storage;
    std::size_t m_key_bytes = 0;
};

} // namespace cornelpier
