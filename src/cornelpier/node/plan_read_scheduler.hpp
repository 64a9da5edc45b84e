#pragma once

#include "cornelpier/base/random_source.hpp"
#include "cornelpier/node/control_events.hpp"

#include <cstdint>
#include <optional>

namespace cornelpier {

/// Why a node reads the configuration service.
enum class plan_read_reason : std::uint8_t {
    none,      ///< It learns plans from peers.
    bootstrap, ///< It has no plan.
    fallback,  ///< No reader has confirmed its plan for a while.
    reader,    ///< It was elected.
};

/// How a read ended.
enum class read_outcome : std::uint8_t { success, refused, failed };

/// Decides when the node reads the plan at the configuration service. One read is outstanding at a time.
class plan_read_scheduler {
  public:
    /// Wait of a reader's watch. Shorter than the service allows, so that a single reader confirms the plan
    /// well within the time after which other nodes read it themselves.
    static constexpr duration watch_timeout = std::chrono::seconds{10};

    /// Time without confirmation after which a node that is no reader reads the service.
    static constexpr duration confirmation_timeout = std::chrono::seconds{30};

    explicit plan_read_scheduler(random_source random) : m_random(random) {}

    /// @param role why the node would read now.
    /// @param version version in force; 0 if there is none.
    /// @return the read to start, if one is due.
    std::optional<read_plan> poll(plan_read_reason reason, std::uint64_t version, time_point now);

    /// Notes the end of the outstanding read.
    void finish(read_outcome outcome, time_point now);

    /// @return the version that the outstanding read waits to be replaced.
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
    std::uint32_t m_backoff_step = 0; ///< Reads in a row that brought nothing.
};

} // namespace cornelpier
