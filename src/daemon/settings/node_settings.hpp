#pragma once

#include "cornelpier/base/event_catalogue.hpp"
#include "cornelpier/base/ids.hpp"
#include "cornelpier/base/result.hpp"
#include "cornelpier/node/node_identity.hpp"
#include "cornelpier/routing/locality_policy.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cornelpier {

/// Format of the log on standard output.
enum class log_format : std::uint8_t { json, text };

/// Settings of a node process. Addresses are `IP:port`; `check_node_settings` validates them.
struct node_settings {
    target_id target;
    vm_id vm;
    data_centre_id data_centre;
    service_id service;
    std::string caller_address;   ///< For HTTP requests of callers.
    std::string node_address;     ///< For node links (TCP) and gossip (UDP).
    std::string operator_address; ///< For HTTP requests of operators.
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
    locality_options locality;           ///< Price of traffic between data centres.
    std::uint32_t memory_limit_mb = 256; ///< Memory in MiB that the process may use.
    std::string adapter = "{}";          ///< JSON object that the platform adapter defines and validates.
};

/// Parses and validates the settings of a node.
/// @param text JSON as in section 9 of the design page.
/// @return the settings, or all errors, each with a JSON pointer and a reason.
checked_result<node_settings> check_node_settings(std::string_view text);

/// As `check_node_settings`, but reports only one error.
/// @return the settings, or the first error.
result<node_settings> parse_node_settings(std::string_view text);

} // namespace cornelpier
