#include "daemon/settings/node_settings.hpp"

#include "cornelpier/validation/ip_address.hpp"
#include "cornelpier/validation/json_validator.hpp"

#include "daemon/settings/settings_schema.hpp"

#include <nlohmann/json.hpp>

#include <array>
#include <set>
#include <utility>

namespace cornelpier {

namespace {

using nlohmann::json;

constexpr std::array address_keys{"caller_address", "node_address",          "operator_address",
                                  "server_address", "configuration_address", "vm_list_address"};
constexpr std::array listen_address_keys{"caller_address", "node_address", "operator_address"};
constexpr std::array path_keys{"server_report_path", "configuration_path", "vm_list_path"};

void check_addresses(const json& document, std::vector<error>& errors) {
    for (const auto* key : address_keys) {
        if (!is_ip_and_port(document.at(key).get_ref<const std::string&>())) {
            errors.push_back({std::string{"/"} + key, "expected IP:port"});
        }
    }

    std::set<std::string> seen;
    for (const auto* key : listen_address_keys) {
        if (!seen.insert(document.at(key).get<std::string>()).second) {
            errors.push_back(
                {std::string{"/"} + key, "the node listens on this address for another purpose"});
        }
    }
}

void check_paths(const json& document, std::vector<error>& errors) {
    for (const auto* key : path_keys) {
        if (document.contains(key) && !document.at(key).get_ref<const std::string&>().starts_with('/')) {
            errors.push_back({std::string{"/"} + key, "must start with /"});
        }
    }
}

void check_seeds(const json& document, std::vector<error>& errors) {
    std::set<std::string> seen;
    std::size_t n = 0;
    for (const auto& it : document.value("seeds", json::array())) {
        const std::string place = "/seeds/" + std::to_string(n++);
        if (!is_ip_and_port(it.at("node").get_ref<const std::string&>())) {
            errors.push_back({place + "/node", "expected IP:port"});
        }
        if (!seen.insert(it.at("target").get<std::string>()).second) {
            errors.push_back({place + "/target", "this target is listed twice"});
        }
    }
}

severity parse_severity(const std::string& name) {
    for (const auto it : {severity::debug, severity::info, severity::warning}) {
        if (to_string(it) == name) {
            return it;
        }
    }
    return severity::error;
}

void read_log_settings(const json& document, node_settings& settings) {
    const json log = document.value("log", json::object());
    settings.format = log.value("format", "json") == "json" ? log_format::json : log_format::text;
    settings.level = parse_severity(log.value("level", "info"));
}

locality_options read_locality(const json& document) {
    const json item = document.value("locality", json::object());
    constexpr double ms_per_second = 1000;
    const auto milliseconds_at = [&](const char* key) {
        return from_seconds(item.value(key, 0.0) / ms_per_second);
    };
    return {milliseconds_at("cost_ms_per_kb"), milliseconds_at("far_round_trip_ms")};
}

node_settings read_settings(const json& document) {
    node_settings settings;
    const auto string_at = [&](const char* key) { return document.at(key).get<std::string>(); };
    settings.target = target_id{string_at("target")};
    settings.vm = vm_id{string_at("vm")};
    settings.data_centre = data_centre_id{string_at("data_centre")};
    settings.service = service_id{string_at("service")};
    settings.caller_address = string_at("caller_address");
    settings.node_address = string_at("node_address");
    settings.operator_address = string_at("operator_address");
    settings.server_address = string_at("server_address");
    settings.server_report_path = document.value("server_report_path", settings.server_report_path);
    settings.configuration_address = string_at("configuration_address");
    settings.configuration_path = document.value("configuration_path", settings.configuration_path);
    settings.vm_list_address = string_at("vm_list_address");
    settings.vm_list_path = document.value("vm_list_path", settings.vm_list_path);
    settings.traffic_threads = document.value("traffic_threads", settings.traffic_threads);
    settings.memory_limit_mb = document.value("memory_limit_mb", settings.memory_limit_mb);
    for (const auto& it : document.value("seeds", json::array())) {
        settings.seeds.push_back(
            {target_id{it.at("target").get<std::string>()}, it.at("node").get<std::string>()});
    }
    settings.locality = read_locality(document);
    read_log_settings(document, settings);
    settings.adapter = document.value("adapter", json::object()).dump();
    return settings;
}

} // namespace

checked_result<node_settings> check_node_settings(std::string_view text) {
    const auto parsed = parse_json(text);
    if (const auto* problem = std::get_if<error>(&parsed)) {
        return std::vector{*problem};
    }

    const auto& document = std::get<json>(parsed);
    auto errors = validate_json(document, settings_schema());
    if (!errors.empty()) {
        return errors;
    }

    check_addresses(document, errors);
    check_paths(document, errors);
    check_seeds(document, errors);
    if (!errors.empty()) {
        return errors;
    }
    return read_settings(document);
}

result<node_settings> parse_node_settings(std::string_view text) {
    auto outcome = check_node_settings(text);
    if (const auto* errors = std::get_if<std::vector<error>>(&outcome)) {
        return errors->front();
    }
    return std::get<node_settings>(std::move(outcome));
}

} // namespace cornelpier
