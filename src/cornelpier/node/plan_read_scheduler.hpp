#pragma once

#include "cornelpier/base/random_source.hpp"
#include "cornelpier/node/control_events.hpp"

#include <cstdint>
#include <optional>

namespace cornelpier {

/// Reason for a node to read the plan from the configuration service.
enum class plan_read_reason : std::uint8_t {
    none,      ///< No need to read: plans arrive from peers.
    bootstrap, ///< The node has no plan.
    fallback,  ///< No reader has confirmed the plan for `confirmation_timeout`.
    reader,    ///< The node is an elected reader.
};

/// Result of a read: the service was read, it returned a sheet that was refused, or it did not answer.
enum class read_outcome : std::uint8_t { success, refused, failed };

/// Schedules reads of the plan from the configuration service, at most one at a time.
class plan_read_scheduler {
  public:
    /// Wait of a reader's watch. Shorter than the service allows, so that even a single reader confirms the
    /// plan well before other nodes reach `confirmation_timeout`.
    static constexpr duration watch_timeout = std::chrono::seconds{10};

    /// Time without confirmation after which a node that is not a reader reads the service itself.
    static constexpr duration confirmation_timeout = std::chrono::seconds{30};

    explicit plan_read_scheduler(random_source random) : m_random(random) {}

    /// @param reason current reason to read.
    /// @param version version of the plan in force; 0 if there is none.
    /// @return the read to start if one is due.
    std::optional<read_plan> poll(plan_read_reason reason, std::uint64_t version, time_point now);

    /// Ends the outstanding read and schedules the next one.
    void finish(read_outcome outcome, time_point now);

    /// @return the version that the outstanding watch waits to see replaced, or nothing.
    [[nodiscard]] std::optional<std::uint64_t> watched_version() const;

  private:
    struct outstanding_read {
        std::optional<std::uint64_t> newer_than;
        time_point started_at;
        time_point times_out_at;
    };

    void set_reason(plan_read_reason reason, time_point now);

    random_source m_random;
    plan_read_reason m_reason = plan_read_reason::none;
    std::optional<outstanding_read> m_outstanding;
    time_point m_next_read_at;
    std::uint32_t m_backoff_step = 0; ///< Reset by a successful watch and by a new reason.
};

} // namespace cornelpier
