#pragma once

#include "daemon/report/node_report.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cornelpier {

/// Result of querying one node.
struct node_query_result {
    target_id node;
    service_id service;
    data_centre_id data_centre;
    std::optional<node_report> answer;
    duration answer_age{}; ///< From the arrival of the answer to the end of all queries.
    std::string failure;   ///< Reason if there is no answer.
};

/// Origin of the information about a node.
enum class fact_source : std::uint8_t {
    direct,   ///< Reported by the node itself.
    indirect, ///< Reported by another node.
    none,     ///< No report available.
};

/// Status of one node in the report.
struct node_status {
    target_id node;
    service_id service;
    data_centre_id data_centre;
    fact_source source = fact_source::none;
    target_id reported_by; ///< Set if `source` is `indirect`.
    std::string state = "unknown";
    std::string vm_state = "unknown";
    duration age{};
    bool stale = false;                 ///< Too old to be shown as current.
    std::optional<node_report> details; ///< Set if `source` is `direct`.
};

/// Totals of the nodes of a group that answered.
struct group_totals {
    std::size_t nodes = 0;
    std::size_t answered = 0;
    std::size_t serving = 0; ///< Of those that answered.
    std::uint64_t running = 0;
    std::uint64_t queued = 0;
    call_counts calls; ///< Calls to a service through any entry; `p50` and `p99` of the worst entry. Not
                       ///< filled in for data centres.
};

/// Known state of a fleet at one point in time.
struct fleet_report {
    std::string taken_at;            ///< UTC, ISO 8601.
    std::uint64_t plan_version = 0;  ///< Highest version that a node reports.
    std::size_t nodes_with_plan = 0; ///< Nodes that report this version.
    bool plan_conflict = false;
    duration plan_confirmed_age{}; ///< Smallest age that a node reports.
    group_totals fleet;
    std::map<service_id, group_totals> services;
    std::map<data_centre_id, group_totals> data_centres;
    std::vector<node_status> nodes; ///< Those needing attention first, then by source and name.
};

/// Older information is shown as stale.
inline constexpr duration stale_after = std::chrono::seconds{30};

/// Merges the answers of all nodes. The status of a node that did not answer is taken from the most recent
/// record of another node and marked as indirect.
/// @param query_results all nodes of the plan, with or without an answer.
/// @param taken_at time of the report, UTC, ISO 8601.
fleet_report make_fleet_report(const std::vector<node_query_result>& query_results, std::string taken_at);

/// @return true if the node needs an operator's attention: no answer, stale, not serving, a leaving VM, or a
/// server that limits its rate.
bool needs_attention(const node_status& status);

} // namespace cornelpier
