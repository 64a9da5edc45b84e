#pragma once

#include "cornelpier/base/result.hpp"
#include "cornelpier/plan/plan.hpp"

#include "daemon/report/fleet_report.hpp"

#include <chrono>
#include <string>
#include <vector>

namespace cornelpier {

/// Maximum size of a state, plan or event page fetched from a node.
inline constexpr std::size_t max_page_bytes = std::size_t{4} * 1024 * 1024;

/// Fetches a page from one node. Blocks until it arrives or the time limit is reached.
/// @param address operator address of the node, `IP:port`.
/// @param path such as `/plan`.
/// @param limit time limit of the request.
/// @return the body, or an error that names the address.
result<std::string> fetch_page(const std::string& address, const std::string& path,
                               std::chrono::milliseconds limit);

/// Fetches the same page from all targets of a plan, with up to 64 concurrent requests. Blocks until all end.
/// @return one body or error per target, in the order of the plan.
std::vector<result<std::string>> fetch_pages(const plan& fleet_plan, const std::string& path,
                                             std::chrono::milliseconds limit);

/// Queries the state of every node of the plan.
/// @return one result per target in the order of the plan, with the answer or the cause of the failure.
std::vector<node_query_result> query_fleet(const plan& fleet_plan, std::chrono::milliseconds limit);

/// Loads the plan that lists the nodes.
/// @param file path of a plan sheet; if empty, the plan is fetched from a node.
/// @param address operator address of that node.
result<plan> load_plan(const std::string& file, const std::string& address, std::chrono::milliseconds limit);

} // namespace cornelpier
