#include "tests/process/support/sidecar_documents.hpp"

namespace cornelpier::test {

using nlohmann::json;

json sidecar_settings(const sidecar_place& place) {
    const json adapter{{"ip", place.ip},
                       {"platform", {{"address", place.store}}},
                       {"listen", {{"ready", place.readiness}}},
                       {"port_range", {place.first_port, place.last_port}},
                       {"bounds", {{"grace", "6s"}, {"probes_per_s", 60}}}};
    return {{"target", place.ip},
            {"vm", place.vm},
            {"data_centre", place.data_centre},
            {"service", place.service},
            {"caller_address", place.callers},
            {"node_address", place.node_links},
            {"operator_address", place.operators},
            {"server_address", place.server},
            {"configuration_address", place.store},
            {"vm_list_address", place.store},
            {"adapter", adapter}};
}

json route_row(const std::string& name, const std::string& host, const std::string& prefix,
               const std::string& kind, const std::string& service) {
    return json::array({name, host, prefix, kind, "1500ms", "500ms", 2, service, 2, nullptr});
}

std::string manifest_text(int version, const json& rows, const std::string& service) {
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

std::string entry_text(const server_report_text& report) {
    json entry{{"address", report.address},
               {"info", {{"service", report.service}, {"zone", report.zone}, {"slots", 4}}},
               {"status", {{"state", report.state}, {"sequence", report.sequence}, {"cold_left", "0ms"}}}};
    if (report.born) {
        entry["born"] = *report.born;
    }
    return entry.dump();
}

} // namespace cornelpier::test
