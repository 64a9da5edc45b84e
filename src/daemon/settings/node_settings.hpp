#pragma once

#include "cornelpier/base/event_catalogue.hpp"
#include "cornelpier/base/ids.hpp"
#include "cornelpier/base/result.hpp"
#include "cornelpier/node/node_identity.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cornelpier {

/// Format of the log on standard output.
enum class log_format : std::uint8_t { json, text };

/// Settings of one node process. Addresses are `IP:port`, checked by `parse_node_settings`.
struct node_settings {
    target_id target;
    vm_id vm;
    data_centre_id data_centre;
    service_id service;
    std::string caller_address;   ///< Callers' HTTP requests.
    std::string node_address;     ///< Node links (TCP) and gossip (UDP).
    std::string operator_address; ///< Reports for operators.
    std::string server_address;
    std::string server_report_path = "/load";
    std::string configuration_address;
    std::string configuration_path = "/plan";
    std::string vm_list_address;
    std::string vm_list_path = "/vms";
    std::vector<seed_peer> seeds;
    log_format format = log_format::json;
    severity level = severity::info;
    std::uint32_t traffic_threads = 2;
    std::string adapter = "{}"; ///< Settings of the adapter to a platform, as JSON.
};

/// Parses and checks the settings of a node.
/// @param text JSON as in section 9 of the design page.
/// @return the settings, or every mistake with its JSON pointer and reason.
checked_result<node_settings> check_node_settings(std::string_view text);

/// As `check_node_settings`, for callers that report one mistake.
/// @return the settings, or the first mistake.
result<node_settings> parse_node_settings(std::string_view text);

} // namespace cornelpier
