#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace cornelpier::test {

/// Where a sidecar and what it talks to stand. Addresses are `IP:port`.
struct sidecar_place {
    std::string ip;
    std::string vm;
    std::string data_centre;
    std::string service;
    std::string callers;
    std::string readiness;
    std::string node_links;
    std::string operators;
    std::string server;
    std::string store;
    int first_port = 0; ///< Of the ports for nodes, as the platform tells them.
    int last_port = 0;
};

/// @return the settings file of a sidecar, with a grace of 6 s and 60 probes a second.
nlohmann::json sidecar_settings(const sidecar_place& place);

/// @return the row of a route in a manifest: timeout 1.5 s, objective 0.5 s, two attempts.
nlohmann::json route_row(const std::string& name, const std::string& host, const std::string& prefix,
                         const std::string& kind, const std::string& service);

/// @param rows of the routes.
/// @return a manifest with one service.
std::string manifest_text(int version, const nlohmann::json& rows, const std::string& service);

/// Entry of a server in the store.
struct server_report_text {
    std::string address;
    std::string service;
    std::string zone;
    std::string state;
    std::uint64_t sequence = 1;
    std::optional<std::uint64_t> born = std::nullopt;
};

/// @return the entry as the store holds it, with four slots.
std::string entry_text(const server_report_text& report);

} // namespace cornelpier::test
