#include "tests/platform/support/source_documents.hpp"

#include "cornelpier/base/hash.hpp"
#include "cornelpier/base/hexadecimal.hpp"

#include "tests/process/support/sidecar_documents.hpp"

#include <unistd.h>

namespace cornelpier::test {

namespace {

constexpr std::uint16_t store_port = 28126;
constexpr std::uint16_t server_port = 28123;
constexpr int store_host = 254;

} // namespace

std::string source_entry(const std::string& node, const std::string& state, const std::string& data_centre) {
    return server_entry_json({.address = endpoint(node, server_port),
                              .service = source_service,
                              .zone = data_centre,
                              .state = state});
}

std::string source_entry_key(const std::string& node) {
    return "servers/i-" + node;
}

std::string source_manifest(int version) {
    return source_manifest(version, nlohmann::json::array());
}

std::string source_manifest(int version, const nlohmann::json& added_routes) {
    auto rows = nlohmann::json::array({route_row("r-1", "a.example", "/l/", "safe", source_service)});
    rows.insert(rows.end(), added_routes.begin(), added_routes.end());
    return manifest_json(version, rows, source_service);
}

nlohmann::json many_routes(int count) {
    auto rows = nlohmann::json::array();
    for (int n = 0; n < count; ++n) {
        const std::string id = to_hexadecimal(stable_hash(std::to_string(n)));
        rows.push_back(
            route_row("r-" + id.substr(0, 7), "a.example", '/' + id.substr(7) + '/', "safe", source_service));
    }
    return rows;
}

std::string source_manifest(int version, double warm_up_rate) {
    auto document = nlohmann::json::parse(source_manifest(version));
    auto& services = document["services"];
    services["columns"].insert(services["columns"].end(), {"cold_start", "cold_per_s"});
    services["rows"][0].insert(services["rows"][0].end(), {"3s", warm_up_rate});
    return document.dump();
}

std::string loopback_address(int host) {
    return "127.12." + std::to_string(getpid() % 250) + '.' + std::to_string(host);
}

std::string endpoint(const std::string& address, std::uint16_t port) {
    return address + ':' + std::to_string(port);
}

std::string store_endpoint() {
    return endpoint(loopback_address(store_host), store_port);
}

std::string store_front(const std::string& node) {
    return endpoint(node, store_port);
}

} // namespace cornelpier::test
