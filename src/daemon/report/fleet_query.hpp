#pragma once

#include "cornelpier/base/result.hpp"
#include "cornelpier/plan/plan.hpp"

#include "daemon/report/fleet_report.hpp"

#include <chrono>
#include <string>
#include <vector>

namespace cornelpier {

/// Largest state, plan or event page that a program reads from a node, in bytes.
inline constexpr std::size_t max_page_bytes = std::size_t{4} * 1024 * 1024;

/// Reads a page from one node and waits for it.
/// @param address `IP:port` of the node's operators' port.
/// @param path such as `/plan`.
/// @param limit longest wait.
/// @return the body, or an error that names the address.
result<std::string> fetch_page(const std::string& address, const std::string& path,
                               std::chrono::milliseconds limit);

/// Reads the same page from all targets of a plan, 64 at a time, and waits for all.
/// @return one body or error per target, in the order of the plan.
std::vector<result<std::string>> fetch_pages(const plan& fleet_plan, const std::string& path,
                                             std::chrono::milliseconds limit);

/// Asks every node of the plan for its state.
/// @return one query_result per target, with its answer or the reason why there is none.
std::vector<node_query_result> query_fleet(const plan& fleet_plan, std::chrono::milliseconds limit);

/// Gets the plan that says which nodes there are.
/// @param file path of a plan sheet; empty: ask a node.
/// @param address operators' port of a node that hands out its plan.
result<plan> load_plan(const std::string& file, const std::string& address, std::chrono::milliseconds limit);

} // namespace cornelpier
