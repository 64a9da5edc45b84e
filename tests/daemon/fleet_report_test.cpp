#include "daemon/report/fleet_report.hpp"
#include "daemon/report/report_html.hpp"
#include "daemon/report/report_json.hpp"
#include "daemon/report/report_text.hpp"

#include <catch2/catch.hpp>

namespace cornelpier {

namespace {

using namespace std::chrono_literals;

node_query_result responding_node(const std::string& name, const std::string& data_centre) {
    node_query_result query_result{
        target_id{name}, service_id{"comenzi"}, data_centre_id{data_centre}, node_report{}, 200ms, ""};
    query_result.answer->node = query_result.node;
    query_result.answer->state = "serving";
    query_result.answer->plan_version = 12;
    query_result.answer->plan_hash = "aa";
    query_result.answer->plan_confirmed_age = 4s;
    query_result.answer->running = 3;
    query_result.answer->calls = {{service_id{"atelier"}, {100, 2, 1, 20ms, 80ms}},
                                  {service_id{"comenzi"}, {7, 0, 0, 2ms, 5ms}}};
    return query_result;
}

node_query_result unreachable_node(const std::string& name, const std::string& data_centre) {
    return {target_id{name},       service_id{"comenzi"}, data_centre_id{data_centre}, std::nullopt, {},
            "no answer within 1 s"};
}

/// Three data centres, the third unreachable. Of its two nodes, one is known to peers and one is not.
std::vector<node_query_result> partitioned_fleet() {
    auto first = responding_node("comenzi-1", "brasov-1");
    first.answer->members = {{target_id{"comenzi-3"}, "serving", "live", 45s, 3s}};
    auto second = responding_node("comenzi-2", "brasov-2");
    second.answer->members = {{target_id{"comenzi-3"}, "draining", "live", 12s, 3s}};
    return {first, second, unreachable_node("comenzi-3", "brasov-3"),
            unreachable_node("comenzi-4", "brasov-3")};
}

} // namespace

TEST_CASE("a node that did not answer is never shown as current", "[report]") {
    const auto report = make_fleet_report(partitioned_fleet(), "2026-01-01T06:00:00Z");

    REQUIRE(report.nodes.size() == 4);
    CHECK(report.nodes[0].node == target_id{"comenzi-3"});
    CHECK(report.nodes[0].source == fact_source::indirect);
    CHECK(report.nodes[0].reported_by == target_id{"comenzi-2"});
    CHECK(report.nodes[0].state == "draining");
    CHECK(report.nodes[0].age == 12s + 200ms);
    CHECK(report.nodes[1].source == fact_source::none);
    CHECK(needs_attention(report.nodes[1]));
}

TEST_CASE("a peer record older than the limit is stale", "[report]") {
    auto fleet = partitioned_fleet();
    fleet[1] = unreachable_node("comenzi-2", "brasov-2");

    const auto report = make_fleet_report(fleet, "2026-01-01T06:00:00Z");
    const auto it = std::ranges::find(report.nodes, target_id{"comenzi-3"}, &node_status::node);
    CHECK(it->stale);
    CHECK(format_source(*it) == "no answer; reported by comenzi-1, 45 s old, STALE");
}

TEST_CASE("a server that limits its rate needs attention", "[report]") {
    auto fleet = partitioned_fleet();
    fleet[0].answer->rate_limit = rate{4.7};
    const auto parsed = parse_node_report(to_json(*fleet[0].answer));
    REQUIRE(has_value(parsed));
    CHECK(std::get<node_report>(parsed).rate_limit == rate{4.7});

    const auto report = make_fleet_report(fleet, "2026-01-01T06:00:00Z");
    const auto it = std::ranges::find(report.nodes, target_id{"comenzi-1"}, &node_status::node);
    CHECK(needs_attention(*it));
    CHECK(to_text(report).find("\n    server accepts 4.7 requests a second\n") != std::string::npos);
    CHECK(to_html(report).find("server accepts 4.7 requests a second") != std::string::npos);
}

TEST_CASE("a node that keeps requests in quarantine needs attention", "[report]") {
    auto fleet = partitioned_fleet();
    fleet[0].answer->quarantined_requests = 2;
    fleet[0].answer->server_crashes = 3;
    const auto parsed = parse_node_report(to_json(*fleet[0].answer));
    REQUIRE(has_value(parsed));
    CHECK(std::get<node_report>(parsed).quarantined_requests == 2);
    CHECK(std::get<node_report>(parsed).server_crashes == 3);

    const auto report = make_fleet_report(fleet, "2026-01-01T06:00:00Z");
    const auto it = std::ranges::find(report.nodes, target_id{"comenzi-1"}, &node_status::node);
    CHECK(needs_attention(*it));
    const std::string line = "requests in quarantine: 2; server crashed: 3";
    CHECK(to_text(report).find("\n    " + line + "\n") != std::string::npos);
    CHECK(to_html(report).find(line) != std::string::npos);
}

TEST_CASE("calls are attributed to the called service, not to the service of the entry", "[report]") {
    const auto report = make_fleet_report(partitioned_fleet(), "2026-01-01T06:00:00Z");
    CHECK(report.services.at(service_id{"atelier"}).calls.ran == 200);
    CHECK(report.services.at(service_id{"atelier"}).nodes == 0);
    CHECK(report.services.at(service_id{"comenzi"}).calls.ran == 14);
    CHECK(report.fleet.calls.ran == 214);
}

TEST_CASE("a service without calls shows no latency", "[report]") {
    auto fleet = partitioned_fleet();
    fleet[0].answer->calls.clear();
    fleet[1].answer->calls.clear();
    const auto report = make_fleet_report(fleet, "2026-01-01T06:00:00Z");
    CHECK(to_text(report).find("p99 no calls") != std::string::npos);
    CHECK(to_html(report).find("<td>no calls</td>") != std::string::npos);
}

TEST_CASE("totals count only nodes that answered and say how many did", "[report]") {
    const auto report = make_fleet_report(partitioned_fleet(), "2026-01-01T06:00:00Z");
    CHECK(report.fleet.answered == 2);
    CHECK(report.fleet.running == 6);
    CHECK(format_answered(report.fleet) == "2 of 4 nodes answered");
    CHECK(report.nodes_with_plan == 2);
}

TEST_CASE("different contents of one plan version are a conflict even if no node reports it", "[report]") {
    auto fleet = partitioned_fleet();
    fleet[1].answer->plan_hash = "bb";
    CHECK(make_fleet_report(fleet, "").plan_conflict);
}

TEST_CASE("the page lists unreachable nodes, has no script and stays below 8 kB", "[report]") {
    std::vector<node_query_result> fleet = partitioned_fleet();
    for (int n = 5; n <= 960; ++n) {
        fleet.push_back(unreachable_node("comenzi-" + std::to_string(n), "brasov-3"));
    }
    const std::string page = to_html(make_fleet_report(fleet, "2026-01-01T06:00:00Z"));
    CHECK(page.find("comenzi-3") != std::string::npos);
    CHECK(page.find("<script") == std::string::npos);
    CHECK(page.find("2 of 960 nodes answered") != std::string::npos);
    CHECK(page.size() < 8'000);
}

TEST_CASE("names cannot inject markup into the page", "[report]") {
    auto fleet = std::vector{unreachable_node("<b>&\"", "dc")};
    const std::string page = to_html(make_fleet_report(fleet, ""));
    CHECK(page.find("&lt;b&gt;&amp;&quot;") != std::string::npos);
}

TEST_CASE("a node report is unchanged by a JSON round trip; malformed input is an error", "[report]") {
    const auto sent = *partitioned_fleet()[0].answer;
    const auto received = parse_node_report(to_json(sent));
    REQUIRE(has_value(received));
    const auto& report = std::get<node_report>(received);
    CHECK(report.members.size() == 1);
    CHECK(report.calls.at(service_id{"atelier"}).p99 == 80ms);
    CHECK(report.calls.at(service_id{"comenzi"}).ran == 7);
    CHECK(report.plan_hash == "aa");
    CHECK_FALSE(has_value(parse_node_report(R"({"node": 3})")));
    CHECK_FALSE(has_value(parse_node_report("<html>")));
}

} // namespace cornelpier
