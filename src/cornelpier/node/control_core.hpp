#pragma once

#include "cornelpier/base/units.hpp"
#include "cornelpier/node/control_events.hpp"
#include "cornelpier/node/node_identity.hpp"
#include "cornelpier/plan/plan_manager.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace cornelpier {

/// What a node knows, for reports; each fact with its age.
struct control_snapshot {
    plan_digest digest;
    duration plan_age{};           ///< Since the plan came into force here.
    duration plan_confirmed_age{}; ///< Since a reader saw it at the configuration service.
    bool reader = false;
    bool conflict = false; ///< Another content of the same version was seen.
    std::vector<member_record> members;
    std::vector<target_id> stale_members; ///< In the plan, but not heard of for `stale_age`.
};

/// Plan and membership of one node without I/O. Not thread-safe: the control thread drives it.
class control_core {
  public:
    /// @param identity who the node is.
    /// @param seed seed of the random numbers.
    /// @param start current time on the node's monotonic clock.
    /// @param reader parses plan sheets; empty for `parse_plan`.
    control_core(node_identity identity, std::uint64_t seed, time_point start,
                 plan_parse_function reader = {});
    ~control_core();

    control_core(const control_core&) = delete;
    control_core& operator=(const control_core&) = delete;
    control_core(control_core&&) noexcept;
    control_core& operator=(control_core&&) noexcept;

    /// @copydoc traffic_core::handle
    /// After a pause, `clock_gap` comes before the messages that waited meanwhile.
    void handle(const control_event& event, time_point now, control_actions& actions);

    /// Handles everything that is due.
    void advance(time_point now, control_actions& actions);

    /// @return when `advance` has something to do.
    [[nodiscard]] std::optional<time_point> next_due() const;

    /// @return what the node knows.
    [[nodiscard]] control_snapshot snapshot(time_point now) const;

  private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace cornelpier
