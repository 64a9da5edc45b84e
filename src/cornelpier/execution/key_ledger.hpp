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

/// Keys that the ledger holds at most, and bytes of these keys.
inline constexpr std::size_t max_key_records = 20'000;
inline constexpr std::size_t max_key_bytes = std::size_t{4} * 1024 * 1024;

/// @return hash of method, path and body, by which a repeat is told from another request.
std::uint64_t fingerprint(const http_request& request);

/// Remembers idempotency keys and the answers to the requests that carried them.
class key_ledger {
  public:
    /// @param capacity keys held at most.
    explicit key_ledger(std::size_t capacity = max_key_records);

    enum class status : std::uint8_t {
        absent,
        running,  ///< The first request is in progress.
        answered, ///< The answer to the first request is stored.
        conflict, ///< The key belongs to a request with another fingerprint.
    };

    /// What is known of a key.
    struct lookup_result {
        status state = status::absent;
        const stored_answer* stored = nullptr; ///< Only if answered; valid until the ledger changes.
    };

    /// Drops the answers whose time is over. Keys of requests in progress stay.
    void expire(time_point now);

    [[nodiscard]] lookup_result lookup(const std::string& key, std::uint64_t request_fingerprint) const;

    /// Records the first request with a key as in progress.
    /// @return false if the ledger is full or knows the key.
    bool open(const std::string& key, std::uint64_t request_fingerprint);

    /// Records the final answer. A request that did not run leaves no record, so that a repeat may run.
    /// @param keep_until end of the time for which repeats get the answer.
    void close(const std::string& key, const run_response& final_answer, time_point keep_until);

    [[nodiscard]] bool full() const { return m_records.size() >= m_capacity || m_key_bytes >= max_key_bytes; }
    [[nodiscard]] std::size_t size() const { return m_records.size(); }

  private:
    struct record {
        std::uint64_t request_fingerprint = 0;
        std::optional<stored_answer> final_answer; ///< Nothing while in progress.
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
