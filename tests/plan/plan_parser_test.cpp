#include "cornelpier/plan/plan_parser.hpp"
#include "cornelpier/plan/plan_schema.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <fstream>
#include <sstream>
#include <tuple>

namespace cornelpier {

namespace {

nlohmann::json example() {
    return nlohmann::json::parse(R"({
      "version": 12, "deployment": "ro-centru",
      "services": [{
        "id": "comenzi", "deadline_ms": 1500, "tail_weight": 0.9, "measuring_per_second": 20, "slots": 10,
        "key_memory_s": 60, "refusal_statuses": [503],
        "rules": [{"method": "GET", "path_prefix": "/", "idempotent": true, "class": "urgent_lookup"}],
        "targets": [
          {"id": "comenzi-1", "vm": "vm-1", "data_centre": "brasov-1", "node": "127.0.0.1:7101"},
          {"id": "comenzi-2", "vm": "vm-2", "data_centre": "brasov-2", "node": "[::1]:7102"}]}]})");
}

} // namespace

TEST_CASE("all keys of a plan sheet are parsed", "[plan]") {
    const std::string sheet = example().dump();
    const auto outcome = parse_plan(sheet);
    REQUIRE(has_value(outcome));
    const auto& checked = std::get<plan>(outcome);
    const auto& service = checked.services.at(0);

    CHECK(checked.version == 12);
    CHECK(checked.sheet == sheet);
    CHECK(service.deadline == std::chrono::milliseconds{1500});
    CHECK(service.tail_weight == Approx(0.9));
    CHECK(service.measuring.per_second == Approx(20));
    CHECK(service.key_memory == std::chrono::seconds{60});
    CHECK(service.refusal_statuses == std::vector{503});
    CHECK(service.rules.at(0).priority == request_class::urgent_lookup);
    CHECK(service.targets.at(1).node_address == "[::1]:7102");
}

// Guards against a limit for services that did not ask for one.
TEST_CASE("a service has a warm-up only if the sheet states its rate", "[plan]") {
    const auto warm_up_of = [](const nlohmann::json& document) {
        return std::get<plan>(parse_plan(document.dump())).services.at(0).warm_up;
    };
    auto document = example();
    CHECK_FALSE(warm_up_of(document));
    document["services"][0]["warm_up_ms"] = 3000;
    CHECK_FALSE(warm_up_of(document));
    document["services"][0]["warm_up_rate_per_second"] = 0;
    CHECK_FALSE(warm_up_of(document));
    document["services"][0]["warm_up_rate_per_second"] = 5.3;
    CHECK(warm_up_of(document) == warm_up_plan{std::chrono::seconds{3}, rate{5.3}});
}

TEST_CASE("an error in a plan sheet is reported with its place and reason", "[plan]") {
    using invalid_case = std::tuple<const char*, nlohmann::json, const char*>;
    const auto [place, value, reason] = GENERATE(table<const char*, nlohmann::json, const char*>({
        invalid_case{"/verson", 3, "unknown key; the nearest known key is version"},
        invalid_case{"/services/0/targets/1/data_center", "x",
                     "unknown key; the nearest known key is data_centre"},
        invalid_case{"/version", 0, "expected at least 1"},
        invalid_case{"/version", 12.5, "expected integer"},
        invalid_case{"/version", "12", "expected integer"},
        invalid_case{"/services/0/slots", 0, "expected at least 1"},
        invalid_case{"/services/0/tail_weight", 1.01, "expected at most 1"},
        invalid_case{"/services/0/tail_weight", -0.01, "expected at least 0"},
        invalid_case{"/services/0/rules/0/class", "urgent",
                     "expected one of order, urgent_lookup, patient_lookup"},
        invalid_case{"/services/0/rules/0/path_prefix", "orders", "must start with /"},
        invalid_case{"/services/0/targets/1/id", "comenzi-1",
                     "this target is listed twice; a target belongs to one service"},
        invalid_case{"/services/0/targets/1/node", "127.0.0.1:7101", "another target has this address"},
        invalid_case{"/services/0/targets/0/node", "127.0.0.1", "expected IP:port"},
        invalid_case{"/services/0/targets/0/node", "127.0.0.256:1", "expected IP:port"},
        invalid_case{"/services/0/targets/0/node", "[::1:1", "expected IP:port"},
        invalid_case{"/services/0/targets/0/vm", "", "must not be empty"},
        invalid_case{"/services/0/warm_up_ms", 600'001, "expected at most 600000"},
        invalid_case{"/services/0/warm_up_ms", -1, "expected at least 0"},
        invalid_case{"/services/0/warm_up_rate_per_second", 1'000'000.5, "expected at most 1000000"},
        invalid_case{"/services/0/warm_up_rate_per_second", -0.1, "expected at least 0"},
        invalid_case{"/services", nlohmann::json::object(), "expected array"},
    }));

    auto document = example();
    document[nlohmann::json::json_pointer{place}] = value;
    const auto outcome = parse_plan(document.dump());
    REQUIRE_FALSE(has_value(outcome));
    const auto& errors = std::get<std::vector<error>>(outcome);
    REQUIRE(errors.size() == 1);
    CHECK(errors[0].place == place);
    CHECK(errors[0].reason == reason);
}

TEST_CASE("services are unique, targets are unique across services, and all errors are listed", "[plan]") {
    auto document = example();
    document["services"].push_back(document["services"][0]);
    const auto outcome = parse_plan(document.dump());
    REQUIRE_FALSE(has_value(outcome));
    CHECK(std::get<std::vector<error>>(outcome).size() == 5);
}

TEST_CASE("input that is not a plan is refused without an exception", "[plan]") {
    const std::string sheet = example().dump();
    for (std::size_t n = 0; n < sheet.size(); n += 7) {
        CHECK_FALSE(has_value(parse_plan(sheet.substr(0, n))));
    }
    CHECK_FALSE(has_value(parse_plan(std::string(100'000, '['))));
    CHECK_FALSE(has_value(parse_plan("{\"version\": 1e400}")));
    CHECK_FALSE(
        has_value(parse_plan(R"({"version": 18446744073709551615, "deployment": "x", "services": []})")));
    CHECK_FALSE(has_value(parse_plan("\xff\xfe")));
}

TEST_CASE("the embedded plan schema is identical to the schema file", "[plan]") {
    std::ifstream file{CORNELPIER_SOURCE_DIR "/schemas/plan.schema.json"};
    std::stringstream text;
    text << file.rdbuf();
    CHECK(text.str() == plan_schema());
}

} // namespace cornelpier
