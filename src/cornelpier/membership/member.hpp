#pragma once

#include "cornelpier/base/ids.hpp"
#include "cornelpier/base/units.hpp"
#include "cornelpier/message/control_messages.hpp"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string>

namespace cornelpier {

/// Age of a fact that nobody reported; larger ages are cut to it.
inline constexpr duration unknown_age = std::chrono::hours{24};

/// A member that nobody heard of for this long is reported as stale.
inline constexpr duration stale_age = std::chrono::seconds{30};

/// What this node knows about a target's node. Ages are kept as the time at which the fact was new.
struct member {
    target_id id;
    std::string address; ///< `IP:port`; empty if unknown.
    vm_id vm;
    data_centre_id data_centre;

    incarnation process;          ///< 0 as long as the node was not heard of.
    incarnation previous_process; ///< The incarnation before; late messages of it are ignored.
    node_state state = node_state::serving;
    time_point last_seen_at;

    vm_state observed_vm_state = vm_state::unlisted;
    time_point vm_observed_at;
    time_point vm_assigned_at; ///< When the target was placed on this VM; older facts concern another VM.

    time_point added_at; ///< When the member became known; a new member counts as alive for a while.
    bool in_plan = false;
    time_point removed_at;           ///< When it left the plan, or was heard without being in it.
    duration age_at_request{};       ///< Age at which peers were asked for a fresher record.
    std::uint32_t last_message = 0;  ///< Number of the last message that carried the record.
    std::uint8_t priority_sends = 0; ///< Messages that still carry the latest change with priority.

    /// @return true if the node was heard of.
    [[nodiscard]] bool has_record() const { return process != incarnation{}; }

    /// @return age of the record, or the time since the member was added if the node was not heard of.
    [[nodiscard]] duration age(time_point now) const {
        return now - (has_record() ? last_seen_at : added_at);
    }

    /// @return the record as peers receive it.
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
