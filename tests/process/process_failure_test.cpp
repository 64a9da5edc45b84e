#include "tests/process/support/becomes_true.hpp"
#include "tests/process/support/child_process.hpp"
#include "tests/process/support/http_call.hpp"
#include "tests/process/support/small_fleet.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <functional>
#include <future>
#include <string>
#include <thread>
#include <vector>

namespace cornelpier {

namespace {

using namespace std::chrono_literals;
using test::becomes_true;
using test::call;
using test::get_request;
using test::http_response;
using test::post_request;
using test::small_fleet;

const std::vector<std::string> node_names{"comenzi-1", "comenzi-2", "atelier-1"};

nlohmann::json plan_state(const small_fleet& fleet, const std::string& node) {
    return nlohmann::json::parse(call(fleet.operator_address(node), get_request("/state", "any")).body)
        .at("plan");
}

bool all_nodes_use_plan(const small_fleet& fleet, int version) {
    return std::ranges::all_of(node_names, [&](const std::string& node) {
        return plan_state(fleet, node).at("version") == version;
    });
}

void control_platform(const small_fleet& fleet, const std::string& command) {
    call(fleet.platform_address(), get_request("/control?" + command, "any"));
}

void publish_plan(const small_fleet& fleet, const std::string& sheet) {
    call(fleet.platform_address(), post_request("/control/plan", "any", sheet));
}

std::string order(const std::string& identity) {
    return post_request("/orders", "comenzi", identity, "X-Identity: " + identity + "\r\n");
}

} // namespace

// Guards against an order that is lost, executed twice or wrongly reported as not-run while its owner is
// stopped by SIGSTOP.
TEST_CASE("verdicts of orders are correct while their owner is suspended and resumed", "[process]") {
    small_fleet fleet("20");
    std::vector<std::future<http_response>> answers;
    for (int n = 0; n < 60; ++n) {
        answers.push_back(std::async(std::launch::async, [&fleet, n] {
            return call(fleet.caller_address("atelier-1"), order("o" + std::to_string(n)));
        }));
        if (n == 20) {
            fleet.node("comenzi-2").send_signal(SIGSTOP);
        }
        if (n == 50) {
            fleet.node("comenzi-2").send_signal(SIGCONT);
        }
        std::this_thread::sleep_for(30ms);
    }

    std::vector<std::string> verdicts;
    for (auto& it : answers) {
        verdicts.push_back(it.get().verdict());
    }
    // Leaves late executions time to reach a server before the count.
    std::this_thread::sleep_for(1s);
    for (std::size_t n = 0; n < verdicts.size(); ++n) {
        const int count = fleet.executions("o" + std::to_string(n));
        INFO("order " << n << ": " << verdicts[n]);
        CHECK(count <= 1);
        CHECK((verdicts[n] == "ran" || verdicts[n] == "not-run" || verdicts[n] == "unknown"));
        CHECK((verdicts[n] != "ran" || count == 1));
        CHECK((verdicts[n] != "not-run" || count == 0));
    }
}

// Guards against a plan that is lost in an outage of the configuration service, replaced by an older version,
// or left different between nodes after two sheets of the same version were published.
TEST_CASE("plans survive an outage, a stale service and two operators at once", "[process]") {
    const small_fleet fleet;
    publish_plan(fleet, fleet.plan_sheet(2));
    REQUIRE(becomes_true(3s, [&] { return all_nodes_use_plan(fleet, 2); }));

    control_platform(fleet, "stale=1");
    std::this_thread::sleep_for(1s);
    CHECK(all_nodes_use_plan(fleet, 2));

    control_platform(fleet, "down=1&stale=0");
    std::this_thread::sleep_for(500ms);
    CHECK(call(fleet.caller_address("comenzi-1"), get_request("/a", "comenzi")).verdict() == "ran");
    publish_plan(fleet, fleet.plan_sheet(3));
    control_platform(fleet, "down=0");
    CHECK(becomes_true(12s, [&] { return all_nodes_use_plan(fleet, 3); }));

    publish_plan(fleet, fleet.plan_sheet(4));
    publish_plan(fleet, fleet.plan_sheet(4, "\n"));
    CHECK(becomes_true(3s, [&] { return all_nodes_use_plan(fleet, 4); }));
    publish_plan(fleet, fleet.plan_sheet(5));
    CHECK(becomes_true(3s, [&] { return all_nodes_use_plan(fleet, 5); }));
    CHECK(plan_state(fleet, "comenzi-1").at("hash") == plan_state(fleet, "atelier-1").at("hash"));
}

// Guards against a restarted node that adopts a stale plan from the configuration service although its peers
// hold a newer one.
TEST_CASE("a node that starts while the service is stale takes the plan of its peers", "[process]") {
    small_fleet fleet;
    publish_plan(fleet, fleet.plan_sheet(2));
    REQUIRE(becomes_true(3s, [&] { return all_nodes_use_plan(fleet, 2); }));

    control_platform(fleet, "stale=1");
    fleet.node("comenzi-2").send_signal(SIGKILL);
    REQUIRE(fleet.node("comenzi-2").wait(5s).has_value());
    fleet.start_node("comenzi-2");
    REQUIRE(fleet.wait_until_serving("comenzi-2"));
    CHECK(plan_state(fleet, "comenzi-2").at("version") == 2);
}

TEST_CASE("a request that has ended two servers is kept from them when they are back", "[process]") {
    small_fleet fleet;
    const std::string deadly = get_request(small_fleet::deadly_path, "comenzi");
    const auto serves = [&](const std::string& target) {
        try {
            return call(fleet.server_address(target), get_request("/load", "any")).status == 200;
        } catch (const std::runtime_error&) {
            return false;
        }
    };
    const auto first = call(fleet.caller_address("atelier-1"), deadly);
    CHECK(first.verdict() == "unknown");
    REQUIRE(becomes_true(5s, [&] {
        static_cast<void>(call(fleet.caller_address("atelier-1"), deadly));
        return !serves("comenzi-1") && !serves("comenzi-2");
    }));
    fleet.start_server("comenzi-1");
    fleet.start_server("comenzi-2");
    REQUIRE(becomes_true(5s, [&] { return serves("comenzi-1") && serves("comenzi-2"); }));

    for (int n = 0; n < 10; ++n) {
        for (const auto& node : node_names) {
            const auto answer = call(fleet.caller_address(node), deadly);
            CHECK(answer.status == 503);
            CHECK(answer.verdict() == "not-run");
        }
    }
    CHECK(serves("comenzi-1"));
    CHECK(serves("comenzi-2"));
    CHECK(becomes_true(5s, [&] {
        return call(fleet.caller_address("atelier-1"), get_request("/a", "comenzi")).verdict() == "ran";
    }));
}

} // namespace cornelpier
