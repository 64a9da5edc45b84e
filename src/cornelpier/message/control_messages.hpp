#pragma once

#include "cornelpier/base/ids.hpp"
#include "cornelpier/base/units.hpp"
#include "cornelpier/message/traffic_messages.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace cornelpier {

/// State of a VM in the platform's list.
enum class vm_state : std::uint8_t { unlisted, live, leaving };

/// What a node knows about another one, with the age of the fact at the sender.
struct member_record {
    target_id target;
    incarnation process;
    node_state state = node_state::serving;
    duration age{};
    vm_state vm = vm_state::unlisted;
    duration vm_age{};
};

/// Names a plan without its content.
struct plan_digest {
    std::uint64_t version = 0;
    std::uint64_t content_hash = 0;

    friend bool operator==(const plan_digest&, const plan_digest&) = default;
};

/// Periodic exchange of hints; fits a datagram of 1400 bytes.
struct gossip {
    target_id from;
    incarnation process;
    plan_digest digest;
    duration confirmed_age{}; ///< Time since a reader last saw this plan at the configuration service.
    std::vector<member_record> members;
    bool wants_reply = false;
    std::uint64_t exchange_id = 0; ///< Chosen by the node that starts an exchange; the reply repeats it.
};

/// Asks for the plan in force at the receiver.
struct plan_pull {
    target_id from;
};

/// Hands on a plan sheet unchanged.
struct plan_push {
    target_id from;
    std::string sheet;
};

/// Word of a node that reads the platform's service for others.
struct source_update {
    target_id from;
    std::uint64_t position = 0; ///< In the service's changes, up to which the sender knows everything.
    std::uint64_t digest = 0;   ///< Hash of all that the sender believes at that position.
    std::string changes;        ///< Written and read by the adapter to the platform; empty: nothing changed.
};

using control_message = std::variant<gossip, plan_pull, plan_push, source_update>;

} // namespace cornelpier
