#pragma once

#include "cornelpier/base/units.hpp"
#include "cornelpier/node/node_identity.hpp"
#include "cornelpier/node/traffic_actions.hpp"
#include "cornelpier/node/traffic_events.hpp"
#include "cornelpier/node/traffic_options.hpp"

#include <cstdint>
#include <memory>
#include <optional>

namespace cornelpier {

/// State and counters of a node at one moment, for reports.
struct traffic_snapshot {
    node_state state = node_state::starting;
    std::size_t calls_in_progress = 0;
    std::size_t runs_at_server = 0;
    std::size_t runs_queued = 0;
    std::uint32_t concurrency_limit = 0;
    std::optional<rate> server_rate_limit; ///< Named by the server or for its warm-up; unset: no limit.
    duration warm_up_remaining{};          ///< Zero: the server is warm or its service has no warm-up rate.
    duration service_time{};
    std::size_t ledger_records = 0;
    std::size_t open_links = 0;
    double measurements_last_second = 0;
    std::uint64_t server_crashes = 0;   ///< Ends of the server with runs in progress.
    std::size_t suspected_requests = 0; ///< Known to the owner, with those in quarantine.
    std::size_t quarantined_requests = 0;
    std::size_t evacuated_data_centres = 0; ///< In force at this node.
};

/// Entry and owner of one node. Performs no I/O: it consumes events and emits actions. Not thread-safe; calls
/// have to come from one strand.
class traffic_core {
  public:
    /// @param identity identity of the node.
    /// @param seed seed of the random number generator.
    /// @param start current time on the node's monotonic clock.
    /// @param options policies that replace the default ones.
    traffic_core(node_identity identity, std::uint64_t seed, time_point start, traffic_options options = {});
    ~traffic_core();

    traffic_core(const traffic_core&) = delete;
    traffic_core& operator=(const traffic_core&) = delete;
    traffic_core(traffic_core&&) noexcept;
    traffic_core& operator=(traffic_core&&) noexcept;

    /// Handles an event, then runs all work that is due.
    /// @param event event to handle.
    /// @param now current time; never earlier than in the previous call.
    /// @param actions receives the actions to execute, in order.
    void handle(const traffic_event& event, time_point now, traffic_actions& actions);

    /// Runs all work that is due.
    void advance(time_point now, traffic_actions& actions);

    /// @return when `advance` next has work to do, or nothing if nothing is scheduled.
    [[nodiscard]] std::optional<time_point> next_due() const;

    /// @return the lifecycle state, which tells whether the node accepts new work.
    [[nodiscard]] node_state state() const;

    /// @return state and counters for reports.
    [[nodiscard]] traffic_snapshot snapshot() const;

  private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace cornelpier
