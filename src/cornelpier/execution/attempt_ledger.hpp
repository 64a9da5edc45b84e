#pragma once

#include "cornelpier/base/units.hpp"
#include "cornelpier/execution/stored_answer.hpp"
#include "cornelpier/message/traffic_messages.hpp"

#include <cstddef>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

namespace cornelpier {

/// Records that the ledger holds at most.
inline constexpr std::size_t max_attempt_records = 20'000;

/// How long after the expiry of its permit an attempt can be asked for.
inline constexpr duration late_query_window = std::chrono::seconds{60};

/// Remembers attempts that must not run twice, until their permits have expired and late queries are over.
class attempt_ledger {
  public:
    /// @param capacity records held at most.
    explicit attempt_ledger(std::size_t capacity = max_attempt_records);

    /// Drops the records whose time is over. Records of attempts in progress stay.
    void expire(time_point now);

    /// Records an attempt as in progress. Call before it can reach the server.
    /// @param permit_expiry expiry of its permit.
    /// @return false if the ledger is full or knows the attempt.
    bool open(const attempt_id& attempt, time_point permit_expiry);

    /// Records the final answer to an attempt that is in progress; others are ignored.
    void close(const attempt_id& attempt, const run_response& final_answer);

    /// Records an attempt that was never seen as refused.
    /// @return false if the ledger is full or knows the attempt.
    bool refuse(const attempt_id& attempt, time_point permit_expiry);

    /// @return true if there is a record, in progress or not.
    [[nodiscard]] bool contains(const attempt_id& attempt) const { return m_records.contains(attempt); }

    /// @return what was kept of the final answer, or nullptr if there is none.
    [[nodiscard]] const stored_answer* find(const attempt_id& attempt) const;

    [[nodiscard]] bool full() const { return m_records.size() >= m_capacity; }
    [[nodiscard]] std::size_t size() const { return m_records.size(); }

    /// @return when the next record is dropped, or nothing if none has a final answer.
    [[nodiscard]] std::optional<time_point> next_expiry() const;

  private:
    struct record {
        time_point keep_until;
        std::optional<stored_answer> final_answer; ///< Nothing while in progress.
    };

    std::size_t m_capacity;
    std::unordered_map<attempt_id, record> m_records;
    std::set<std::pair<time_point, attempt_id>> m_expiries;
    answer_storage m_storage;
};

} // namespace cornelpier
