#pragma once

#include "cornelpier/base/event_record.hpp"
#include "cornelpier/base/ids.hpp"
#include "cornelpier/fleet/fleet_view.hpp"
#include "cornelpier/message/control_messages.hpp"
#include "cornelpier/node/traffic_actions.hpp"
#include "cornelpier/node/traffic_events.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace cornelpier {

/// A control message was received.
struct control_message_received {
    control_message message;
    std::string address{}; ///< `IP:port` of the sender's node; empty if the transport does not report it.
};

/// The configuration service returned a plan sheet, which may be older than the plan in force.
struct plan_read {
    std::string sheet;
};

/// The watch ended without a newer plan at the configuration service.
struct plan_unchanged {};

/// The configuration service did not return a plan sheet.
struct plan_read_failed {};

/// The platform returned its VM list.
struct vm_list_read {
    std::vector<std::pair<vm_id, vm_state>> vms;
};

/// The VM list could not be read.
struct vm_list_read_failed {};

/// The traffic side changed the state of this node.
struct own_state_changed {
    node_state state = node_state::serving;
};

using control_event = std::variant<control_message_received, plan_read, plan_unchanged, plan_read_failed,
                                   vm_list_read, vm_list_read_failed, own_state_changed, clock_gap>;

/// Sends a control message without delivery guarantee: gossip as a datagram, plans over a node link.
struct send_control_message {
    target_id to;
    std::string address; ///< `IP:port`.
    control_message message;
};

/// Reads the plan from the configuration service. Ends in `plan_read`, `plan_unchanged` or
/// `plan_read_failed`.
struct read_plan {
    std::optional<std::uint64_t> newer_than; ///< If set, waits until the version differs from this one.
    duration wait{std::chrono::seconds{30}}; ///< Maximum wait of a watch, in whole seconds, at most 30 s.
};

/// Reads the VM list. Ends in `vm_list_read` or `vm_list_read_failed`.
struct read_vm_list {};

/// Publishes a view to the traffic side.
struct publish_view {
    shared_fleet_view view;
};

using control_action =
    std::variant<send_control_message, read_plan, read_vm_list, publish_view, record_event>;

using control_actions = std::vector<control_action>;

} // namespace cornelpier
