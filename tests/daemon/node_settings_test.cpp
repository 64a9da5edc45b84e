#include "daemon/settings/node_settings.hpp"
#include "daemon/settings/settings_schema.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <fstream>
#include <sstream>
#include <tuple>

namespace cornelpier {

namespace {

nlohmann::json example_settings() {
    return nlohmann::json::parse(R"({
      "target": "comenzi-1", "vm": "vm-comenzi-1", "data_centre": "brasov-1", "service": "comenzi",
      "caller_address": "127.0.0.1:7001", "node_address": "127.0.0.1:7101",
      "operator_address": "127.0.0.1:7201", "server_address": "127.0.0.1:7301",
      "server_report_path": "/load", "configuration_address": "127.0.0.1:7400",
      "configuration_path": "/plan", "vm_list_address": "127.0.0.1:7400", "vm_list_path": "/vms",
      "seeds": [{"target": "comenzi-2", "node": "127.0.0.1:7102"}],
      "log": {"format": "text", "level": "warning"}, "traffic_threads": 3,
      "memory_limit_mb": 160})");
}

std::vector<error> validation_errors(const nlohmann::json& document) {
    auto outcome = check_node_settings(document.dump());
    REQUIRE_FALSE(has_value(outcome));
    return std::get<std::vector<error>>(outcome);
}

} // namespace

TEST_CASE("the example settings of the design page are parsed", "[settings]") {
    const auto outcome = parse_node_settings(example_settings().dump());
    REQUIRE(has_value(outcome));
    const auto& settings = std::get<node_settings>(outcome);

    CHECK(settings.target == target_id{"comenzi-1"});
    CHECK(settings.operator_address == "127.0.0.1:7201");
    CHECK(settings.seeds.at(0).address == "127.0.0.1:7102");
    CHECK(settings.format == log_format::text);
    CHECK(settings.level == severity::warning);
    CHECK(settings.traffic_threads == 3);
    CHECK(settings.memory_limit_mb == 160);
}

TEST_CASE("an invalid setting is reported with its JSON pointer and reason", "[settings]") {
    using invalid_case = std::tuple<const char*, nlohmann::json, const char*, const char*>;
    const auto [change, value, place, reason] =
        GENERATE(table<const char*, nlohmann::json, const char*, const char*>({
            invalid_case{"/traffic_thread", 2, "/traffic_thread",
                         "unknown key; the nearest known key is traffic_threads"},
            invalid_case{"/log/levle", "info", "/log/levle", "unknown key; the nearest known key is level"},
            invalid_case{"/log/level", "loud", "/log/level", "expected one of debug, info, warning, error"},
            invalid_case{"/traffic_threads", 0, "/traffic_threads", "expected at least 1"},
            invalid_case{"/memory_limit_mb", 31, "/memory_limit_mb", "expected at least 32"},
            invalid_case{"/target", 7, "/target", "expected string"},
            invalid_case{"/node_address", "localhost:1", "/node_address", "expected IP:port"},
            invalid_case{"/node_address", "127.0.0.1:7001", "/node_address",
                         "the node listens on this address for another purpose"},
            invalid_case{"/vm_list_path", "vms", "/vm_list_path", "must start with /"},
            invalid_case{"/seeds/0/node", "127.0.0.1:70000", "/seeds/0/node", "expected IP:port"},
        }));

    auto document = example_settings();
    document[nlohmann::json::json_pointer{change}] = value;
    const auto errors = validation_errors(document);
    REQUIRE(errors.size() == 1);
    CHECK(errors[0].place == place);
    CHECK(errors[0].reason == reason);
}

TEST_CASE("a missing key and malformed JSON are reported", "[settings]") {
    auto document = example_settings();
    document.erase("vm");
    CHECK(validation_errors(document).at(0).reason == "missing required property 'vm'");

    const auto outcome = parse_node_settings("{\n  \"target\": ,\n}");
    REQUIRE_FALSE(has_value(outcome));
    CHECK(std::get<error>(outcome).place == "line 2, column 13");
}

TEST_CASE("the embedded settings schema equals the schema file", "[settings]") {
    std::ifstream file{CORNELPIER_SOURCE_DIR "/schemas/settings.schema.json"};
    std::stringstream text;
    text << file.rdbuf();
    CHECK(text.str() == settings_schema());
}

} // namespace cornelpier
