#pragma once

#include "cornelpier/base/ids.hpp"
#include "cornelpier/base/result.hpp"
#include "cornelpier/base/units.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cornelpier {

/// State of a member as known to another node.
struct member_view {
    target_id target;
    std::string state;    ///< `starting`, `serving`, `draining` or `stopped`.
    std::string vm_state; ///< `live`, `leaving` or `unlisted`.
    duration age{};       ///< Age of the state when the node reported it.
    duration vm_age{};    ///< Age of the VM's state when the node reported it.
};

/// Call counts by verdict and latency quantiles of the last minute at one entry.
struct call_counts {
    std::uint64_t ran = 0;
    std::uint64_t not_run = 0;
    std::uint64_t unknown = 0;
    duration p50{};
    duration p99{};
};

/// Response of a node to `GET /state` on its operator address.
struct node_report {
    target_id node;
    vm_id vm;
    data_centre_id data_centre;
    service_id service;
    std::string state;
    duration uptime{};
    std::uint64_t plan_version = 0;
    std::string plan_hash;
    duration plan_confirmed_age{}; ///< Since a reader last saw the plan at the configuration service.
    bool plan_conflict = false;
    std::uint64_t running = 0; ///< Requests at the server.
    std::uint64_t queued = 0;
    std::uint64_t limit = 0;
    std::optional<rate> rate_limit;         ///< Requests that the server accepts; unset: no limit.
    std::uint64_t server_crashes = 0;       ///< Ends of the server with runs in progress.
    std::uint64_t quarantined_requests = 0; ///< Requests that are not run because they end servers.
    duration service_time{};
    double measurements_per_second = 0;
    double measuring_budget = 0;             ///< Per second.
    std::map<service_id, call_counts> calls; ///< Calls through this entry, by called service.
    std::vector<member_view> members;
};

/// @return the JSON text that `GET /state` returns.
std::string to_json(const node_report& report);

/// @param text JSON text of a node whose version may differ.
/// @return the report, or an error with the message of the JSON parser.
result<node_report> parse_node_report(std::string_view text);

} // namespace cornelpier
