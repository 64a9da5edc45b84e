#pragma once

#include "cornelpier/base/units.hpp"
#include "cornelpier/node/control_events.hpp"
#include "cornelpier/node/node_identity.hpp"
#include "cornelpier/plan/plan_manager.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace cornelpier {

/// Plan and membership state of a node for reports, with the age of each item.
struct control_snapshot {
    plan_digest digest;
    duration plan_age{};           ///< Time since this node put the plan in force.
    duration plan_confirmed_age{}; ///< Time since a reader saw it at the configuration service.
    bool reader = false;
    std::size_t guests = 0; ///< Nodes that this node updates though their server is not listed.
    bool conflict = false;  ///< Another plan with the same version but other content was seen.
    std::vector<member_record> members;
    std::vector<target_id> stale_members; ///< In the plan, but without a record newer than `stale_age`.
};

/// Plan distribution and membership of one node. Performs no I/O: it consumes events and emits actions. Not
/// thread-safe; only the control thread may call it.
class control_core {
  public:
    /// @param identity identity and seed peers of the node.
    /// @param seed seed of the random number generator.
    /// @param start current time on the node's monotonic clock.
    /// @param parse parses plan sheets; `parse_plan` if empty.
    control_core(node_identity identity, std::uint64_t seed, time_point start,
                 plan_parse_function parse = {});
    ~control_core();

    control_core(const control_core&) = delete;
    control_core& operator=(const control_core&) = delete;
    control_core(control_core&&) noexcept;
    control_core& operator=(control_core&&) noexcept;

    /// @copydoc traffic_core::handle
    /// After a pause, `clock_gap` has to be handled before the messages that were queued during the pause.
    void handle(const control_event& event, time_point now, control_actions& actions);

    /// Runs all work that is due.
    void advance(time_point now, control_actions& actions);

    /// @return when `advance` next has work to do, or nothing if nothing is scheduled.
    [[nodiscard]] std::optional<time_point> next_due() const;

    /// @return the state for reports.
    [[nodiscard]] control_snapshot snapshot(time_point now) const;

  private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace cornelpier
