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
constexpr std::array listening_keys{"caller_address", "node_address", "operator_address"};
constexpr std::array path_keys{"server_report_path", "configuration_path", "vm_list_path"};

void check_addresses(const json& document, std::vector<error>& mistakes) {
    for (const auto* key : address_keys) {
        if (!is_ip_and_port(document.at(key).get_ref<const std::string&>())) {
            mistakes.push_back({std::string{"/"} + key, "expected IP:port"});
        }
    }

    std::set<std::string> seen;
    for (const auto* key : listening_keys) {
        if (!seen.insert(document.at(key).get<std::string>()).second) {
            mistakes.push_back(
                {std::string{"/"} + key, "the node listens on this address for another purpose"});
        }
    }
}

void check_paths(const json& document, std::vector<error>& mistakes) {
    for (const auto* key : path_keys) {
        if (document.contains(key) && !document.at(key).get_ref<const std::string&>().starts_with('/')) {
            mistakes.push_back({std::string{"/"} + key, "must start with /"});
        }
    }
}

void check_seeds(const json& document, std::vector<error>& mistakes) {
    std::set<std::string> seen;
    std::size_t n = 0;
    for (const auto& it : document.value("seeds", json::array())) {
        const std::string place = "/seeds/" + std::to_string(n++);
        if (!is_ip_and_port(it.at("node").get_ref<const std::string&>())) {
            mistakes.push_back({place + "/node", "expected IP:port"});
        }
        if (!seen.insert(it.at("target").get<std::string>()).second) {
            mistakes.push_back({place + "/target", "this target is listed twice"});
        }
    }
}

severity severity_of(const std::string& name) {
    for (const auto it : {severity::debug, severity::info, severity::warning}) {
        if (to_string(it) == name) {
            return it;
        }
    }
    return severity::error;
}

void read_log(const json& document, node_settings& settings) {
    const json log = document.value("log", json::object());
    settings.format = log.value("format", "json") == "json" ? log_format::json : log_format::text;
    settings.level = severity_of(log.value("level", "info"));
}

node_settings read_settings(const json& document) {
    node_settings settings;
    const auto text = [&](const char* key) { return document.at(key).get<std::string>(); };
    settings.target = target_id{text("target")};
    settings.vm = vm_id{text("vm")};
    settings.data_centre = data_centre_id{text("data_centre")};
    settings.service = service_id{text("service")};
    settings.caller_address = text("caller_address");
    settings.node_address = text("node_address");
    settings.operator_address = text("operator_address");
    settings.server_address = text("server_address");
    settings.server_report_path = document.value("server_report_path", settings.server_report_path);
    settings.configuration_address = text("configuration_address");
    settings.configuration_path = document.value("configuration_path", settings.configuration_path);
    settings.vm_list_address = text("vm_list_address");
    settings.vm_list_path = document.value("vm_list_path", settings.vm_list_path);
    settings.traffic_threads = document.value("traffic_threads", settings.traffic_threads);
    for (const auto& it : document.value("seeds", json::array())) {
        settings.seeds.push_back(
            {target_id{it.at("target").get<std::string>()}, it.at("node").get<std::string>()});
    }
    read_log(document, settings);
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
    auto mistakes = validate_json(document, settings_schema());
    if (!mistakes.empty()) {
        return mistakes;
    }

    check_addresses(document, mistakes);
    check_paths(document, mistakes);
    check_seeds(document, mistakes);
    if (!mistakes.empty()) {
        return mistakes;
    }
    return read_settings(document);
}

result<node_settings> parse_node_settings(std::string_view text) {
    auto outcome = check_node_settings(text);
    if (const auto* mistakes = std::get_if<std::vector<error>>(&outcome)) {
        return mistakes->front();
    }
    return std::get<node_settings>(std::move(outcome));
}

} // namespace cornelpier
