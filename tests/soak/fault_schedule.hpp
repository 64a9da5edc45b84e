#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace cornelpier::soak {

/// Event that is applied to one VM or to the whole fleet.
enum class fault_kind : std::uint8_t {
    // Planned operations. Their bounds must hold while no fault is active.
    terminate,      ///< SIGTERM, then a restart after the grace period.
    hang_up,        ///< SIGHUP to the node.
    replace_server, ///< The server drains, leaves, and a new instance replaces it.
    change_plan,
    // Faults.
    kill,        ///< SIGKILL, then a restart after the duration.
    kill_all,    ///< The same for all VMs at once.
    pause,       ///< SIGSTOP for the duration.
    delay_links, ///< Delays data on links from other nodes.
    cut_to,      ///< Blocks data to this node on links that others opened.
    cut_from,    ///< Blocks data from this node on links that others opened.
    reset_links, ///< Resets all links from other nodes.
    mute_links,  ///< Stalls all open links from other nodes for good; new ones work.
    cut_store,   ///< Blocks the connections of this node to the store.
    reset_store,
    mute_store,
    store_down,   ///< The store refuses all requests.
    lapse,        ///< The store is down; entries of live servers are missing until shortly after it is back.
    reset_server, ///< Resets all connections to the server.
    lose_answers, ///< The server closes connections after it has executed the request.
    cut_answers,  ///< The server truncates responses.
    slow_server,
    limit_server,   ///< The server names the rate of requests that it accepts.
    restore_store,  ///< The store returns from the copy it was at when the event began.
    deadly_request, ///< A request that ends each server that runs it is sent again and again.
    refuse_store,   ///< The store refuses the requests of this node and serves the others.
    unlist_server   ///< The server's entry is removed while it runs on, then a new instance replaces it.
                    ///< Planned.
};

/// @return the name for log output.
std::string to_string(fault_kind kind);

/// @return whether the event is a planned operation rather than a fault.
constexpr bool is_planned(fault_kind kind) {
    return kind <= fault_kind::change_plan || kind == fault_kind::unlist_server;
}

struct fault_event {
    std::chrono::milliseconds at{0};
    std::chrono::milliseconds duration{0};
    fault_kind kind = fault_kind::hang_up;
    int vm = 0;
};

/// Time after a fault before the bounds of the platform apply again.
inline constexpr std::chrono::milliseconds stabilization_time{3000};

/// Generates rounds of faults mixed with planned operations. Each round ends with a fault-free pause and a
/// phase of planned operations alone.
/// @return the events in order of time; the same seed gives the same events.
std::vector<fault_event> make_schedule(std::uint32_t seed, int vms, std::chrono::milliseconds length);

} // namespace cornelpier::soak
