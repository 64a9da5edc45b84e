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

/// Maximum number of records in the ledger.
inline constexpr std::size_t max_attempt_records = 20'000;

/// Time after the expiry of an attempt's permit during which fate queries are answered.
inline constexpr duration late_query_window = std::chrono::seconds{60};

/// Records attempts that must not run twice. A record is kept until the permit has expired and the window for
/// late fate queries has passed.
class attempt_ledger {
  public:
    /// @param capacity maximum number of records.
    explicit attempt_ledger(std::size_t capacity = max_attempt_records);

    /// Removes expired records. Records of attempts in progress stay.
    void expire(time_point now);

    /// Records an attempt as in progress. Must be called before it can reach the server.
    /// @param permit_expiry expiry of its permit.
    /// @return false if the ledger is full or already has the attempt.
    bool open(const attempt_id& attempt, time_point permit_expiry);

    /// Records the final answer to an attempt in progress. Ignores other attempts.
    void close(const attempt_id& attempt, const run_response& final_answer);

    /// Records an attempt that has not arrived as refused, so that a late copy cannot run.
    /// @return false if the ledger is full or already has the attempt.
    bool refuse(const attempt_id& attempt, time_point permit_expiry);

    /// @return true if there is a record, in progress or not.
    [[nodiscard]] bool contains(const attempt_id& attempt) const { return m_records.contains(attempt); }

    /// @return the stored part of the final answer, or nullptr without one.
    [[nodiscard]] const stored_answer* find(const attempt_id& attempt) const;

    [[nodiscard]] bool full() const { return m_records.size() >= m_capacity; }
    [[nodiscard]] std::size_t size() const { return m_records.size(); }

    /// @return expiry of the next record, or nothing if no record has a final answer.
    [[nodiscard]] std::optional<time_point> next_expiry() const;

  private:
    struct record {
        time_point keep_until;
        std::optional<stored_answer> final_answer; ///< Unset while in progress.
    };

    std::size_t m_capacity;
    std::unordered_map<attempt_id, record> m_records;
    std::set<std::pair<time_point, attempt_id>> m_expiries;
    answer_storage m_storage;
};

} // namespace cornelpier
