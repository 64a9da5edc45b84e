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

/// Counts for reports, taken at one moment.
struct traffic_snapshot {
    node_state state = node_state::starting;
    std::size_t calls_in_progress = 0;
    std::size_t runs_at_server = 0;
    std::size_t runs_queued = 0;
    std::uint32_t concurrency_limit = 0;
    duration service_time{};
    std::size_t ledger_records = 0;
    std::size_t open_links = 0;
    double measurements_last_second = 0;
};

/// Entry and owner of one node without I/O. Not thread-safe: one strand drives it.
class traffic_core {
  public:
    /// @param identity who the node is.
    /// @param seed seed of the random numbers.
    /// @param start current time on the node's monotonic clock.
    /// @param options replaces parts of the decisions.
    traffic_core(node_identity identity, std::uint64_t seed, time_point start, traffic_options options = {});
    ~traffic_core();

    traffic_core(const traffic_core&) = delete;
    traffic_core& operator=(const traffic_core&) = delete;
    traffic_core(traffic_core&&) noexcept;
    traffic_core& operator=(traffic_core&&) noexcept;

    /// Handles an event, then everything that is due.
    /// @param event what happened.
    /// @param now current time; never earlier than at the previous call.
    /// @param actions receives what the shell has to do, in order.
    void handle(const traffic_event& event, time_point now, traffic_actions& actions);

    /// Handles everything that is due.
    void advance(time_point now, traffic_actions& actions);

    /// @return when `advance` has something to do.
    [[nodiscard]] std::optional<time_point> next_due() const;

    /// @return whether the node takes new work.
    [[nodiscard]] node_state state() const;

    /// @return counts for reports.
    [[nodiscard]] traffic_snapshot snapshot() const;

  private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace cornelpier
