#pragma once

#include "cornelpier/base/ids.hpp"
#include "cornelpier/base/units.hpp"
#include "cornelpier/membership/relay_tree.hpp"
#include "cornelpier/message/traffic_messages.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace cornelpier {

/// State of a VM in the platform's VM list.
enum class vm_state : std::uint8_t { unlisted, live, leaving };

/// State of a member as known to the sender, with the age of that information.
struct member_record {
    target_id target;
    incarnation process;
    node_state state = node_state::serving;
    duration age{};
    vm_state vm = vm_state::unlisted;
    duration vm_age{};
};

/// Identifies a plan by version and content hash.
struct plan_digest {
    std::uint64_t version = 0;
    std::uint64_t content_hash = 0;

    friend bool operator==(const plan_digest&, const plan_digest&) = default;
};

/// Periodic exchange of plan digests and member records. Sized to fit a datagram of 1400 bytes.
struct gossip {
    target_id from;
    incarnation process;
    plan_digest digest;
    duration confirmed_age{}; ///< Time since a reader last read this plan from the configuration service.
    std::vector<member_record> members;
    bool wants_reply = false;
    std::uint64_t exchange_id = 0; ///< Chosen by the initiator of an exchange and repeated in the reply.
};

/// Requests the plan in force at the receiver.
struct plan_pull {
    target_id from;
};

/// Transfers a plan sheet byte for byte.
struct plan_push {
    target_id from;
    std::string sheet;
};

/// What an update proves about the service. Each value includes the ones before.
enum class update_evidence : std::uint8_t {
    none,           ///< Only the enclosed changes: the node that sent them may know of others.
    complete_state, ///< At its last read, that node had put all changes up to `position` in force.
    available,      ///< Besides, the service has served that node without an outage.
};

/// Update from a node that reads the platform's service on behalf of others.
struct source_update {
    target_id from;
    /// Last of the service's changes that the node that read the changes has applied.
    std::uint64_t position = 0;
    std::uint64_t digest = 0; ///< Hash of that node's complete state at that position.
    std::string changes;      ///< Opaque to the core, encoded by the platform adapter; empty: no change.
    std::uint64_t epoch = 0;  ///< Of the position. Rises when the service restarts its positions.
    update_evidence evidence = update_evidence::complete_state;
    incarnation process{}; ///< Of the sender.
    time_point sent_at{};  ///< On the sender's clock.
    duration age{};        ///< Time from when the state was last known to be the newest until `sent_at`.
    relay_route route = relay_route::direct; ///< Along which the receiver passes on the changes.
    bool is_complete = false; ///< The changes are the whole state: what they do not list is gone.
};

/// Asks a node for its state, because the service does not serve the one that asks, or for updates.
struct source_query {
    target_id from;
    std::uint64_t position = 0;
    std::uint64_t digest = 0; ///< Hash of the complete state at that position.
    std::uint64_t epoch = 0;
    std::uint64_t plan_hash = 0; ///< Of the plan in force, on which the answer may be based.
    duration age{};              ///< Time since the state was last known to be the newest.
    bool subscribes = false;     ///< Asks a relay for updates for some time.
};

using control_message = std::variant<gossip, plan_pull, plan_push, source_update, source_query>;

} // namespace cornelpier
