#include "platform/duration_text.hpp"
#include "platform/manifest.hpp"
#include "platform/platform_settings.hpp"
#include "platform/platform_wire.hpp"
#include "platform/relayed_changes.hpp"
#include "platform/server_entry.hpp"
#include "platform/store_client.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <utility>

namespace cornelpier::platform {

using std::chrono::milliseconds;

namespace {

nlohmann::json manifest_example() {
    return nlohmann::json::parse(R"({"version":"r7",
      "routes":{"columns":["name","host","path_prefix","kind","timeout","objective","priority","service",
                           "max_attempts","traffic_split"],
        "rows":[["r-1","a.example","/o/","unsafe","1200ms","500ms",1,"orders",2,null],
                ["r-2","a.example","/l/","safe","1.5s","500ms",2,null,3,
                 [{"service":"orders","weight":90},{"service":"next","weight":10}]]]},
      "services":{"columns":["name","health_path","max_connections","protocol","tls"],
        "rows":[["orders","/health",220,"h1",false],["next","/up",100,"h1",false]]},
      "limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms",
                "idle_timeout":"15000ms"},"base_revision":"r5"})");
}

error manifest_error(const nlohmann::json& document) {
    const auto outcome = decode_manifest(document.dump());
    REQUIRE_FALSE(has_value(outcome));
    return std::get<error>(outcome);
}

std::string entry_example() {
    return R"({"address":"10.0.0.9:8080","born":5,"info":{"service":"orders","version":"v1","zone":"a",
      "slots":9},"status":{"state":"ready","sequence":4,"cold_left":"1500ms"}})";
}

bool is_refused(const std::string& path, const nlohmann::json& value) {
    auto document = nlohmann::json::parse(entry_example());
    document[nlohmann::json::json_pointer{path}] = value;
    return !has_value(decode_server_entry("servers/i-1", document.dump()));
}

nlohmann::json settings_example() {
    return nlohmann::json::parse(
        R"({"ip":"10.0.0.2","platform":{"address":"10.0.0.1:80"},"listen":{"ready":"10.0.0.2:81"},
      "port_range":[7380,7395],"bounds":["grace=6s","retry_budget_ratio=0.2","retry_slack=58",
      "probes_per_s=60"]})");
}

} // namespace

TEST_CASE("a duration is a number with the unit ms or s", "[platform]") {
    CHECK(parse_duration("1500ms") == duration{milliseconds{1500}});
    CHECK(parse_duration("2.5s") == duration{milliseconds{2500}});
    CHECK(parse_duration("0ms") == duration::zero());
    for (const auto* text : {"", "ms", "12", "12m", "-1s", "1e9s", "1.5 s", "nans", "s1"}) {
        INFO(text);
        CHECK_FALSE(parse_duration(text));
    }
}

// A download that counts as an order is not repeated after a lost link, and its caller gets an error.
TEST_CASE("routes of the kinds safe and download are idempotent, all others are not", "[platform]") {
    for (const auto& [kind, idempotent] : std::initializer_list<std::pair<const char*, bool>>{
             {"safe", true}, {"download", true}, {"unsafe", false}, {"upload", false}, {"", false}}) {
        INFO(kind);
        auto document = manifest_example();
        document[nlohmann::json::json_pointer{"/routes/rows/0/3"}] = kind;
        const auto outcome = decode_manifest(document.dump());
        REQUIRE(has_value(outcome));
        const auto* decoded = std::get<manifest>(outcome).routes->find("a.example", "/o/1");
        CHECK(decoded->idempotent == idempotent);
        CHECK(decoded->large_responses == (std::string_view{kind} == "download"));
    }
}

TEST_CASE("a manifest is decoded into routes, services and limits", "[platform]") {
    const auto outcome = decode_manifest(manifest_example().dump());
    REQUIRE(has_value(outcome));
    const auto& decoded = std::get<manifest>(outcome);
    CHECK(decoded.version == 7);
    CHECK(decoded.services.size() == 2);
    CHECK(decoded.services[1].health_path == "/up");
    CHECK(decoded.limits.idle_timeout == std::chrono::seconds{15});

    const route* order = decoded.routes->find("a.example", "/o/1");
    REQUIRE(order != nullptr);
    CHECK_FALSE(order->idempotent);
    CHECK(order->timeout == milliseconds{1200});
    CHECK(order->objective == milliseconds{500});
    CHECK(order->priority == request_class{1});
    CHECK(order->max_attempts == 2);
    const route* lookup = decoded.routes->find("a.example", "/l/1");
    REQUIRE(lookup != nullptr);
    CHECK(lookup->idempotent);
    CHECK(lookup->weighted_services.size() == 2);
    CHECK(lookup->weighted_services[1].weight == 10);
}

TEST_CASE("a route of unknown kind is not idempotent", "[platform]") {
    auto document = manifest_example();
    document["routes"]["rows"][1][3] = "keyed";
    const auto decoded = std::get<manifest>(decode_manifest(document.dump()));
    CHECK_FALSE(decoded.routes->find("a.example", "/l/1")->idempotent);
}

TEST_CASE("an invalid manifest is rejected with the place of the error", "[platform]") {
    CHECK_FALSE(has_value(decode_manifest("{\"version\":")));
    CHECK_FALSE(has_value(decode_manifest("[]")));
    CHECK_FALSE(has_value(decode_manifest("")));

    auto document = manifest_example();
    document["version"] = "12";
    CHECK(manifest_error(document).place == "/version");
    document["version"] = 12;
    CHECK(manifest_error(document).place == "/version");

    document = manifest_example();
    document["routes"]["rows"][0][4] = nullptr;
    CHECK(manifest_error(document).place == "/routes/0/timeout");
    document["routes"]["rows"][0][4] = 1200;
    CHECK(manifest_error(document).place == "/routes/0/timeout");

    document = manifest_example();
    document["routes"]["rows"][0][2] = "o";
    CHECK(manifest_error(document).place == "/routes/0/path_prefix");

    document = manifest_example();
    document["routes"]["rows"][1][9] = nlohmann::json::array();
    CHECK(manifest_error(document).place == "/routes/1/service");
    document["routes"]["rows"][1][9] = {{{"service", "orders"}, {"weight", -1}}};
    CHECK(manifest_error(document).place == "/routes/1/service");

    document = manifest_example();
    document["routes"]["rows"][0][8] = 0;
    CHECK(manifest_error(document).place == "/routes/0/max_attempts");

    document = manifest_example();
    document["routes"]["rows"][0].push_back(1);
    CHECK(manifest_error(document).place == "/routes");
    document["routes"] = nlohmann::json::array();
    CHECK(manifest_error(document).place == "/routes");

    document = manifest_example();
    document["services"]["rows"][1][0] = "orders";
    CHECK(manifest_error(document).place == "/services/1/name");
}

TEST_CASE("a server entry is decoded", "[platform]") {
    const auto outcome = decode_server_entry("servers/i-1", entry_example());
    REQUIRE(has_value(outcome));
    const auto& entry = std::get<server_entry>(outcome);
    CHECK(entry.instance == "i-1");
    CHECK(entry.service == service_id{"orders"});
    CHECK(entry.address == "10.0.0.9:8080");
    CHECK(entry.slots == 9);
    CHECK_FALSE(entry.draining);
    CHECK(entry.warm_up_remaining == milliseconds{1500});
    CHECK(entry.started_at_ms == 5);
}

TEST_CASE("a malformed server entry is rejected", "[platform]") {
    CHECK_FALSE(has_value(decode_server_entry("servers/i-1", "")));
    CHECK_FALSE(has_value(decode_server_entry("servers/i-1", "\xff\xfe")));
    CHECK_FALSE(has_value(decode_server_entry("servers/i-1", "[1]")));
    CHECK(is_refused("/address", 7));
    CHECK(is_refused("/address", "host:80"));
    CHECK(is_refused("/born", "5"));
    CHECK(is_refused("/born", 5.5));
    CHECK(is_refused("/info", nullptr));
    CHECK(is_refused("/info/service", 1));
    CHECK(is_refused("/info/service", ""));
    CHECK(is_refused("/info/zone", nlohmann::json::object()));
    CHECK(is_refused("/info/slots", 0));
    CHECK(is_refused("/info/slots", "9"));
    CHECK(is_refused("/info/slots", 1e30));
    CHECK(is_refused("/status/state", "gone"));
    CHECK(is_refused("/status/state", nullptr));
    CHECK(is_refused("/status/sequence", -1));
}

TEST_CASE("responses of the store are decoded or reported as a failure", "[platform]") {
    const auto page =
        decode_page(200, R"({"items":[{"key":"op/config","value":"aGk=","revision":4,"created":1,"lease":0}],
                 "has_more":true,"current_rev":9})");
    REQUIRE(std::holds_alternative<store_page>(page));
    CHECK(std::get<store_page>(page).items.at(0).value == "hi");
    CHECK(std::get<store_page>(page).has_more);
    CHECK(std::get<store_page>(page).position.number == 9);

    const auto changes = decode_changes(
        200, R"({"events":[{"key":"a","revision":3,"deleted":true},{"key":"b","value":"***","revision":4}],
                 "current_rev":4})");
    REQUIRE(std::holds_alternative<store_changes>(changes));
    CHECK_FALSE(std::get<store_changes>(changes).items.at(0).value);
    CHECK(std::get<store_changes>(changes).items.at(1).value == "");

    const std::string no_changes = R"({"events":[],"current_rev":7})";
    CHECK(std::get<store_changes>(decode_changes(200, no_changes)).position.era == 0);
    CHECK(std::get<store_changes>(decode_changes(200, no_changes, "3")).position.era == 3);
    CHECK(std::get<store_failure>(decode_changes(200, no_changes, "x")) == store_failure::not_understood);
    CHECK(std::get<store_failure>(decode_changes(410, "")) == store_failure::history_lost);
    CHECK(std::get<store_failure>(decode_changes(0, "")) == store_failure::unreachable);
    CHECK(std::get<store_failure>(decode_changes(429, "")) == store_failure::refused);
    for (const auto* body :
         {"", "{", "[]", R"({"events":[]})", R"({"current_rev":4})",
          R"({"events":[{"key":1}],"current_rev":4})", R"({"events":[],"current_rev":"4"})"}) {
        INFO(body);
        CHECK(std::get<store_failure>(decode_changes(200, body)) == store_failure::not_understood);
    }
}

TEST_CASE("a server load has three values and an optional slowness", "[platform]") {
    const auto full = parse_server_load("3,1,9,700");
    REQUIRE(full);
    CHECK(full->running == 3);
    CHECK(full->waiting == 1);
    CHECK(full->slots == 9);
    CHECK(full->slowness == Approx(7));
    CHECK(parse_server_load("3,0,8")->slowness == Approx(1));
    for (const auto* text : {"", "3", "3,0", "3,0,", "a,b,c", "3;0;8", "3,0,8,x", "-1,0,8"}) {
        INFO(text);
        CHECK_FALSE(parse_server_load(text));
    }
}

TEST_CASE("the platform's bounds are read from a list and from an object", "[platform]") {
    auto document = settings_example();
    auto settings = std::get<platform_settings>(read_platform_settings(document));
    CHECK(settings.grace_period == std::chrono::seconds{6});
    CHECK(settings.retry_slack == Approx(58));
    CHECK(settings.node_port == 7380);

    document["bounds"] = {{"grace", "4s"}, {"retry_budget_ratio", 0.1}, {"retry_slack", "20"}};
    settings = std::get<platform_settings>(read_platform_settings(document));
    CHECK(settings.grace_period == std::chrono::seconds{4});
    CHECK(settings.retry_ratio == Approx(0.1));
    CHECK(settings.retry_slack == Approx(20));

    document["bounds"] = {"config_apply=2500ms", "drain=2200ms"};
    settings = std::get<platform_settings>(read_platform_settings(document));
    CHECK(settings.propagation_limit == std::chrono::milliseconds{2200});

    // Guards against evacuations that come into force later than their bound.
    document["bounds"] = {"config_apply=9s", "drain=8s", "evacuation=4s"};
    settings = std::get<platform_settings>(read_platform_settings(document));
    CHECK(settings.propagation_limit == std::chrono::seconds{4});
    document["bounds"] = {"evacuation=soon"};
    CHECK(std::holds_alternative<error>(read_platform_settings(document)));
}

TEST_CASE("an error in the platform's settings has a place", "[platform]") {
    const auto place_with = [](const char* path, const nlohmann::json& value) {
        auto document = settings_example();
        document[nlohmann::json::json_pointer{path}] = value;
        const auto outcome = read_platform_settings(document);
        return has_value(outcome) ? std::string{} : std::get<error>(outcome).place;
    };
    CHECK(place_with("/platform/address", "store:80") == "/platform/address");
    CHECK(place_with("/platform", 1) == "/platform/address");
    CHECK(place_with("/listen/ready", nullptr) == "/listen/ready");
    CHECK(place_with("/port_range", nlohmann::json::array()) == "/port_range");
    CHECK(place_with("/port_range/0", 70000) == "/port_range");
    CHECK(place_with("/ip", "here") == "/ip");
    CHECK(place_with("/bounds/0", "grace=soon") == "/bounds");
}

} // namespace cornelpier::platform

namespace cornelpier::platform {

TEST_CASE("relayed changes survive a round trip, and malformed ones are rejected", "[platform]") {
    const std::vector<relayed_change> changes{{"op/config", "{}"}, {"servers/i-1", std::nullopt}};
    const auto text = encode_relayed_changes(changes);
    const auto decoded = decode_relayed_changes(text);
    REQUIRE(decoded);
    REQUIRE(decoded->size() == 2);
    CHECK(decoded->at(0).value == "{}");
    CHECK_FALSE(decoded->at(1).value);
    for (std::size_t n = 0; n < text.size(); ++n) {
        CHECK_FALSE(decode_relayed_changes(std::string_view{text}.substr(0, n)));
    }
    CHECK_FALSE(decode_relayed_changes("\x81\x80"));
    CHECK_FALSE(decode_relayed_changes("\x81\x81\x01"));
}

} // namespace cornelpier::platform
