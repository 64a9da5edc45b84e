#include "platform/manifest.hpp"
#include "platform/platform_wire.hpp"
#include "platform/server_entry.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <limits>

namespace cornelpier::platform {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

/// @return a manifest whose second service states its warm-up.
std::string manifest_text(const nlohmann::json& cold_start, const nlohmann::json& cold_per_s) {
    nlohmann::json document{
        {"version", "r7"},
        {"routes", {{"columns", nlohmann::json::array()}, {"rows", nlohmann::json::array()}}},
        {"services",
         {{"columns", {"name", "health_path", "max_connections", "cold_start", "cold_per_s"}},
          {"rows", {{"orders", "/health", 220}, {"next", "/up", 100, cold_start, cold_per_s}}}}}};
    return document.dump();
}

std::string entry_text(const nlohmann::json& cold_left) {
    nlohmann::json entry{{"address", "10.0.0.9:80"},
                         {"info", {{"service", "s"}, {"zone", "a"}, {"slots", 6}}},
                         {"status", {{"state", "ready"}, {"sequence", 4}}}};
    if (!cold_left.is_discarded()) {
        entry["status"]["cold_left"] = cold_left;
    }
    return entry.dump();
}

} // namespace

// Guards against a limit for services whose manifest names none.
TEST_CASE("a manifest states the warm-up of a service", "[platform][warm-up]") {
    const auto services = std::get<manifest>(decode_manifest(manifest_text("3s", 5.3))).services;
    CHECK_FALSE(services[0].warm_up);
    CHECK(services[1].warm_up == warm_up_plan{seconds{3}, rate{5.3}});

    for (const auto& none : {nlohmann::json(nullptr), nlohmann::json(0), nlohmann::json(0.0)}) {
        CHECK_FALSE(std::get<manifest>(decode_manifest(manifest_text("3s", none))).services[1].warm_up);
    }
    const auto without_length = decode_manifest(manifest_text(nullptr, 12));
    CHECK(std::get<manifest>(without_length).services[1].warm_up == warm_up_plan{duration::zero(), rate{12}});
    const auto largest = decode_manifest(manifest_text("600s", 1'000'000));
    CHECK(std::get<manifest>(largest).services[1].warm_up ==
          warm_up_plan{max_warm_up_length, rate{max_warm_up_rate}});
}

// Guards against a value that lifts the limit or blocks a service.
TEST_CASE("a malformed or huge warm-up is refused with its place", "[platform][warm-up]") {
    using nlohmann::json;
    const auto problem_of = [](const std::string& text) { return std::get<error>(decode_manifest(text)); };
    for (const json& value : {json("5.3"), json(-1), json(-0.001), json(1'000'001), json(1e300), json(true),
                              json::array({1}), json(std::numeric_limits<std::uint64_t>::max())}) {
        INFO(value.dump());
        const error problem = problem_of(manifest_text("3s", value));
        CHECK(problem.place == "/services/1/cold_per_s");
        CHECK(concerns_warm_up(problem));
    }
    for (const json& value : {json("3"), json("-3s"), json("601s"), json(3), json("nans"), json("")}) {
        INFO(value.dump());
        const error problem = problem_of(manifest_text(value, 5.3));
        CHECK(problem.place == "/services/1/cold_start");
        CHECK(concerns_warm_up(problem));
    }
    CHECK_FALSE(concerns_warm_up(problem_of("[]")));
}

// Guards against an entry that is lost, or a server that counts as cold for ever, because of an odd time.
TEST_CASE("an odd remaining time of an entry counts as none", "[platform][warm-up]") {
    const auto decode = [](const nlohmann::json& cold_left) {
        return std::get<server_entry>(decode_server_entry("servers/i-1", entry_text(cold_left)));
    };
    CHECK(decode("1500ms").warm_up_remaining == milliseconds{1500});
    CHECK(decode("600s").warm_up_remaining == minutes{10});
    CHECK_FALSE(decode("600s").warm_up_malformed);
    CHECK_FALSE(decode(nlohmann::json(nlohmann::json::value_t::discarded)).warm_up_malformed);
    for (const nlohmann::json& value : {nlohmann::json("601s"), nlohmann::json("-1ms"), nlohmann::json(7),
                                        nlohmann::json("soon"), nlohmann::json(nullptr)}) {
        INFO(value.dump());
        CHECK(decode(value).warm_up_malformed);
        CHECK(decode(value).warm_up_remaining == duration::zero());
    }
}

// Guards against a renamed header, which would leave every server warm.
TEST_CASE("the remaining warm-up time has a name on the platform", "[platform][warm-up]") {
    CHECK(platform_wire_names().warm_up_remaining == "x-cold-remaining-ms");
}

} // namespace cornelpier::platform
