#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace cornelpier::test {

/// Identity of a sidecar, and the addresses of the sidecar and its peers as `IP:port`.
struct sidecar_addresses {
    std::string ip;
    std::string vm;
    std::string data_centre;
    std::string service;
    std::string caller_address;
    std::string readiness_address;
    std::string node_address;
    std::string operator_address;
    std::string server_address;
    std::string store_address;
    int first_port = 0; ///< First and last port that the platform assigns to nodes.
    int last_port = 0;
};

/// @return the settings file of a sidecar, with a grace period of 6 s and 60 probes per second.
nlohmann::json sidecar_settings(const sidecar_addresses& addresses);

/// @return the row of a route in a manifest: timeout 1.5 s, objective 0.5 s, two attempts.
nlohmann::json route_row(const std::string& name, const std::string& host, const std::string& prefix,
                         const std::string& kind, const std::string& service);

/// @param rows rows of the route table; see route_row().
/// @return a manifest with one service.
std::string manifest_json(int version, const nlohmann::json& rows, const std::string& service);

/// Variable fields of a server entry in the store.
struct server_entry_fields {
    std::string address;
    std::string service;
    std::string zone;
    std::string state;
    std::uint64_t sequence = 1;
    std::optional<std::uint64_t> born = std::nullopt;
};

/// @return the entry in the JSON format of the store, with four slots.
std::string server_entry_json(const server_entry_fields& fields);

} // namespace cornelpier::test
