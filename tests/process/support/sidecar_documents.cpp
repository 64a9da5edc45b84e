#include "tests/process/support/sidecar_documents.hpp"

namespace cornelpier::test {

using nlohmann::json;

json sidecar_settings(const sidecar_addresses& addresses) {
    const json adapter{{"ip", addresses.ip},
                       {"platform", {{"address", addresses.store_address}}},
                       {"listen", {{"ready", addresses.readiness_address}}},
                       {"port_range", {addresses.first_port, addresses.last_port}},
                       {"bounds", {{"grace", "6s"}, {"probes_per_s", 60}}}};
    return {{"target", addresses.ip},
            {"vm", addresses.vm},
            {"data_centre", addresses.data_centre},
            {"service", addresses.service},
            {"caller_address", addresses.caller_address},
            {"node_address", addresses.node_address},
            {"operator_address", addresses.operator_address},
            {"server_address", addresses.server_address},
            {"configuration_address", addresses.store_address},
            {"vm_list_address", addresses.store_address},
            {"adapter", adapter}};
}

json route_row(const std::string& name, const std::string& host, const std::string& prefix,
               const std::string& kind, const std::string& service) {
    return json::array({name, host, prefix, kind, "1500ms", "500ms", 2, service, 2, nullptr});
}

std::string manifest_json(int version, const json& rows, const std::string& service) {
    return json{
        {"version", "r" + std::to_string(version)},
        {"routes",
         {{"columns",
           {"name", "host", "path_prefix", "kind", "timeout", "objective", "priority", "service",
            "max_attempts", "traffic_split"}},
          {"rows", rows}}},
        {"services",
         {{"columns", {"name", "health_path", "max_connections"}}, {"rows", {{service, "/health", 100}}}}},
        {"limits", {{"idle_timeout", "15000ms"}}}}
        .dump();
}

std::string server_entry_json(const server_entry_fields& fields) {
    json entry{{"address", fields.address},
               {"info", {{"service", fields.service}, {"zone", fields.zone}, {"slots", 4}}},
               {"status", {{"state", fields.state}, {"sequence", fields.sequence}, {"cold_left", "0ms"}}}};
    if (fields.born) {
        entry["born"] = *fields.born;
    }
    return entry.dump();
}

} // namespace cornelpier::test
