#include "daemon/settings/node_settings.hpp"
#include "daemon/settings/settings_schema.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <fstream>
#include <sstream>
#include <tuple>

namespace cornelpier {

namespace {

nlohmann::json example() {
    return nlohmann::json::parse(R"({
      "target": "comenzi-1", "vm": "vm-comenzi-1", "data_centre": "brasov-1", "service": "comenzi",
      "caller_address": "127.0.0.1:7001", "node_address": "127.0.0.1:7101",
      "operator_address": "127.0.0.1:7201", "server_address": "127.0.0.1:7301",
      "server_report_path": "/load", "configuration_address": "127.0.0.1:7400",
      "configuration_path": "/plan", "vm_list_address": "127.0.0.1:7400", "vm_list_path": "/vms",
      "seeds": [{"target": "comenzi-2", "node": "127.0.0.1:7102"}],
      "log": {"format": "text", "level": "warning"}, "traffic_threads": 3})");
}

std::vector<error> mistakes_of(const nlohmann::json& document) {
    auto outcome = check_node_settings(document.dump());
    REQUIRE_FALSE(has_value(outcome));
    return std::get<std::vector<error>>(outcome);
}

} // namespace

TEST_CASE("the settings of the design page are read completely", "[settings]") {
    const auto outcome = parse_node_settings(example().dump());
    REQUIRE(has_value(outcome));
    const auto& settings = std::get<node_settings>(outcome);

    CHECK(settings.target == target_id{"comenzi-1"});
    CHECK(settings.operator_address == "127.0.0.1:7201");
    CHECK(settings.seeds.at(0).address == "127.0.0.1:7102");
    CHECK(settings.format == log_format::text);
    CHECK(settings.level == severity::warning);
    CHECK(settings.traffic_threads == 3);
}

TEST_CASE("a mistake in the settings is reported with its place and reason", "[settings]") {
    using mistake = std::tuple<const char*, nlohmann::json, const char*, const char*>;
    const auto [change, value, place, reason] =
        GENERATE(table<const char*, nlohmann::json, const char*, const char*>({
            mistake{"/traffic_thread", 2, "/traffic_thread",
                    "unknown key; the nearest known key is traffic_threads"},
            mistake{"/log/levle", "info", "/log/levle", "unknown key; the nearest known key is level"},
            mistake{"/log/level", "loud", "/log/level", "expected one of debug, info, warning, error"},
            mistake{"/traffic_threads", 0, "/traffic_threads", "expected at least 1"},
            mistake{"/target", 7, "/target", "expected string"},
            mistake{"/node_address", "localhost:1", "/node_address", "expected IP:port"},
            mistake{"/node_address", "127.0.0.1:7001", "/node_address",
                    "the node listens on this address for another purpose"},
            mistake{"/vm_list_path", "vms", "/vm_list_path", "must start with /"},
            mistake{"/seeds/0/node", "127.0.0.1:70000", "/seeds/0/node", "expected IP:port"},
        }));

    auto document = example();
    document[nlohmann::json::json_pointer{change}] = value;
    const auto mistakes = mistakes_of(document);
    REQUIRE(mistakes.size() == 1);
    CHECK(mistakes[0].place == place);
    CHECK(mistakes[0].reason == reason);
}

TEST_CASE("a missing key and broken JSON are reported", "[settings]") {
    auto document = example();
    document.erase("vm");
    CHECK(mistakes_of(document).at(0).reason == "missing required property 'vm'");

    const auto outcome = parse_node_settings("{\n  \"target\": ,\n}");
    REQUIRE_FALSE(has_value(outcome));
    CHECK(std::get<error>(outcome).place == "line 2, column 13");
}

TEST_CASE("the embedded settings schema is the committed file", "[settings]") {
    std::ifstream file{CORNELPIER_SOURCE_DIR "/schemas/settings.schema.json"};
    std::stringstream text;
    text << file.rdbuf();
    CHECK(text.str() == settings_schema());
}

} // namespace cornelpier
