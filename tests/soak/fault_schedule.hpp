#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace cornelpier::soak {

/// What happens to a VM or to all of them.
enum class fault_kind : std::uint8_t {
    // Planned work: the promises about it hold while nothing else happens.
    terminate,      ///< SIGTERM, and another start once the process has ended.
    hang_up,        ///< SIGHUP.
    replace_server, ///< The server drains, leaves, and another life takes its place.
    change_plan,
    // Disturbances.
    kill,        ///< SIGKILL, and another start after the duration.
    kill_all,    ///< The same for all VMs at once.
    pause,       ///< SIGSTOP for the duration.
    delay_links, ///< Pieces between nodes come late.
    cut_to,      ///< Nothing from other nodes reaches this one.
    cut_from,    ///< Nothing of this one reaches other nodes.
    reset_links, ///< All links from other nodes are reset.
    mute_links,  ///< All links from other nodes fall silent for good.
    cut_store,   ///< This node does not reach the store.
    reset_store,
    mute_store,
    store_down,   ///< The store refuses all.
    lapse,        ///< The store is down, and entries of live servers are gone until shortly after its return.
    reset_server, ///< Connections of the node to its server are reset.
    lose_answers, ///< The server ends connections after it has run requests.
    cut_answers,  ///< The server cuts answers short.
    slow_server,
};

/// @return name for logs.
std::string to_string(fault_kind kind);

/// @return whether an operator does this by plan.
constexpr bool is_planned(fault_kind kind) {
    return kind <= fault_kind::change_plan;
}

struct fault_event {
    std::chrono::milliseconds at{0};
    std::chrono::milliseconds duration{0};
    fault_kind kind = fault_kind::hang_up;
    int vm = 0;
};

/// Time that the platform leaves after a disturbance before its bounds hold again.
inline constexpr std::chrono::milliseconds stabilization_time{3000};

/// @return events in order of their time: rounds of disturbances with planned work among them, each followed
/// by a calm stretch and a round of planned work alone. The same seed gives the same events.
std::vector<fault_event> make_schedule(std::uint32_t seed, int vms, std::chrono::milliseconds length);

} // namespace cornelpier::soak
