#pragma once

#include "cornelpier/base/ids.hpp"
#include "cornelpier/base/units.hpp"
#include "cornelpier/message/control_messages.hpp"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string>

namespace cornelpier {

/// Age of a state that was never reported. Larger ages are clamped to it.
inline constexpr duration unknown_age = std::chrono::hours{24};

/// A member without a newer record than this is reported as stale.
inline constexpr duration stale_age = std::chrono::seconds{30};

/// State of a target's node as known to this node. Ages are stored as the time at which the state was
/// observed.
struct member {
    target_id id;
    std::string address; ///< `IP:port`; empty if unknown.
    vm_id vm;
    data_centre_id data_centre;

    incarnation process;          ///< 0 until a record of the node has been received.
    incarnation previous_process; ///< Incarnation before a restart; its late messages are ignored.
    node_state state = node_state::serving;
    time_point last_seen_at;

    vm_state observed_vm_state = vm_state::unlisted;
    time_point vm_observed_at;
    time_point vm_assigned_at; ///< When the target moved to this VM; older states are of another VM.

    time_point added_at; ///< When the member was added; until a record arrives, its age counts from here.
    bool in_plan = false;
    time_point removed_at;           ///< When it left the plan, or was added without being in it.
    duration age_at_request{};       ///< Age of the record when a newer one was last requested from peers.
    std::uint32_t last_message = 0;  ///< Number of the last message that included the record.
    std::uint8_t priority_sends = 0; ///< Remaining messages that include the last change with priority.

    /// @return true if a record of the node has been received.
    [[nodiscard]] bool has_record() const { return process != incarnation{}; }

    /// @return age of the record, or the time since the member was added if there is none.
    [[nodiscard]] duration age(time_point now) const {
        return now - (has_record() ? last_seen_at : added_at);
    }

    /// @return the record in the form that is sent to peers.
    [[nodiscard]] member_record record(time_point now) const {
        const auto clamped_age = [&](time_point since) {
            return std::min<duration>(now - since, unknown_age);
        };
        return {id,
                process,
                state,
                has_record() ? clamped_age(last_seen_at) : unknown_age,
                observed_vm_state,
                clamped_age(vm_observed_at)};
    }
};

} // namespace cornelpier
