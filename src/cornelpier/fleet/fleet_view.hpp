#pragma once

#include "cornelpier/base/ids.hpp"
#include "cornelpier/message/control_messages.hpp"
#include "cornelpier/plan/plan.hpp"

#include <memory>
#include <unordered_map>

namespace cornelpier {

/// Snapshot of plan and membership that the control side publishes to the traffic side. Immutable once
/// published.
struct fleet_view {
    std::shared_ptr<const plan> current_plan; ///< Never null.
    std::unordered_map<target_id, vm_state> vm_states;
    std::unordered_map<target_id, node_state> node_states;
};

using shared_fleet_view = std::shared_ptr<const fleet_view>;

} // namespace cornelpier
