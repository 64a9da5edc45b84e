#pragma once

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <string>

namespace cornelpier::test {

/// Time within which changes must take effect, as the platform's settings state it.
inline constexpr std::chrono::milliseconds propagation_limit{2500};

/// Data centre of all nodes.
inline constexpr const char* test_data_centre = "z";

/// Data centre without servers that the settings list.
inline constexpr const char* spare_data_centre = "y";

/// Service of all servers.
inline constexpr const char* source_service = "status";

/// @return the entry of a node's server in the store.
std::string source_entry(const std::string& node, const std::string& state,
                         const std::string& data_centre = test_data_centre);

/// @return key of the entry of a node's server.
std::string source_entry_key(const std::string& node);

/// @return the operator's configuration with one service.
std::string source_manifest(int version);

/// @return the same with further routes.
/// @param added_routes list of rows of the table of routes.
std::string source_manifest(int version, const nlohmann::json& added_routes);

/// @return rows of routes with paths that do not compress well.
nlohmann::json many_routes(int count);

/// @return the same with the warm-up rate of the service.
std::string source_manifest(int version, double warm_up_rate);

/// Port of the links between nodes.
inline constexpr std::uint16_t source_node_port = 28124;

/// @return a loopback address of this process. Tests that run at the same time use different networks.
std::string loopback_address(int host);

/// @return `IP:port`.
std::string endpoint(const std::string& address, std::uint16_t port);

/// @return address of the store.
std::string store_endpoint();

/// @return address at which a node reaches the store.
std::string store_front(const std::string& node);

} // namespace cornelpier::test
