#include "daemon/report/fleet_report.hpp"
#include "daemon/report/report_html.hpp"
#include "daemon/report/report_json.hpp"
#include "daemon/report/report_text.hpp"

#include <catch2/catch.hpp>

namespace cornelpier {

namespace {

using namespace std::chrono_literals;

node_inquiry answering(const std::string& name, const std::string& data_centre) {
    node_inquiry inquiry{
        target_id{name}, service_id{"comenzi"}, data_centre_id{data_centre}, node_report{}, 200ms, ""};
    inquiry.answer->node = inquiry.node;
    inquiry.answer->state = "serving";
    inquiry.answer->plan_version = 12;
    inquiry.answer->plan_hash = "aa";
    inquiry.answer->plan_confirmed_age = 4s;
    inquiry.answer->running = 3;
    inquiry.answer->calls = {{service_id{"atelier"}, {100, 2, 1, 20ms, 80ms}},
                             {service_id{"comenzi"}, {7, 0, 0, 2ms, 5ms}}};
    return inquiry;
}

node_inquiry silent(const std::string& name, const std::string& data_centre) {
    return {target_id{name},       service_id{"comenzi"}, data_centre_id{data_centre}, std::nullopt, {},
            "no answer within 1 s"};
}

/// Three data centres, the third cut off; one silent node is known to a peer, one to nobody.
std::vector<node_inquiry> fleet_with_a_cut() {
    auto first = answering("comenzi-1", "brasov-1");
    first.answer->members = {{target_id{"comenzi-3"}, "serving", "live", 45s, 3s}};
    auto second = answering("comenzi-2", "brasov-2");
    second.answer->members = {{target_id{"comenzi-3"}, "draining", "live", 12s, 3s}};
    return {first, second, silent("comenzi-3", "brasov-3"), silent("comenzi-4", "brasov-3")};
}

} // namespace

TEST_CASE("a node that did not answer is never shown as current", "[report]") {
    const auto report = make_fleet_report(fleet_with_a_cut(), "2026-01-01T06:00:00Z");

    REQUIRE(report.lines.size() == 4);
    CHECK(report.lines[0].node == target_id{"comenzi-3"});
    CHECK(report.lines[0].source == fact_source::indirect);
    CHECK(report.lines[0].reported_by == target_id{"comenzi-2"});
    CHECK(report.lines[0].state == "draining");
    CHECK(report.lines[0].age == 12s + 200ms);
    CHECK(report.lines[1].source == fact_source::none);
    CHECK(needs_attention(report.lines[1]));
}

TEST_CASE("a record of a peer older than the limit is stale", "[report]") {
    auto fleet = fleet_with_a_cut();
    fleet[1] = silent("comenzi-2", "brasov-2");

    const auto report = make_fleet_report(fleet, "2026-01-01T06:00:00Z");
    const auto it = std::ranges::find(report.lines, target_id{"comenzi-3"}, &node_line::node);
    CHECK(it->stale);
    CHECK(format_source(*it) == "no answer; reported by comenzi-1, 45 s old, STALE");
}

TEST_CASE("calls count for the service that was called, not for that of the entry", "[report]") {
    const auto report = make_fleet_report(fleet_with_a_cut(), "2026-01-01T06:00:00Z");
    CHECK(report.services.at(service_id{"atelier"}).calls.ran == 200);
    CHECK(report.services.at(service_id{"atelier"}).nodes == 0);
    CHECK(report.services.at(service_id{"comenzi"}).calls.ran == 14);
    CHECK(report.all.calls.ran == 214);
}

TEST_CASE("a service without calls shows no latency", "[report]") {
    auto fleet = fleet_with_a_cut();
    fleet[0].answer->calls.clear();
    fleet[1].answer->calls.clear();
    const auto report = make_fleet_report(fleet, "2026-01-01T06:00:00Z");
    CHECK(to_text(report).find("p99 no calls") != std::string::npos);
    CHECK(to_html(report).find("<td>no calls</td>") != std::string::npos);
}

TEST_CASE("totals count only nodes that answered and say how many did", "[report]") {
    const auto report = make_fleet_report(fleet_with_a_cut(), "2026-01-01T06:00:00Z");
    CHECK(report.all.answered == 2);
    CHECK(report.all.running == 6);
    CHECK(format_answered(report.all) == "2 of 4 nodes answered");
    CHECK(report.nodes_with_plan == 2);
}

TEST_CASE("two contents of one plan version are a conflict even if no node has noticed", "[report]") {
    auto fleet = fleet_with_a_cut();
    fleet[1].answer->plan_hash = "bb";
    CHECK(make_fleet_report(fleet, "").plan_conflict);
}

TEST_CASE("the page names silent nodes, needs no script and stays within a few KB", "[report]") {
    std::vector<node_inquiry> fleet = fleet_with_a_cut();
    for (int n = 5; n <= 960; ++n) {
        fleet.push_back(silent("comenzi-" + std::to_string(n), "brasov-3"));
    }
    const std::string page = to_html(make_fleet_report(fleet, "2026-01-01T06:00:00Z"));
    CHECK(page.find("comenzi-3") != std::string::npos);
    CHECK(page.find("<script") == std::string::npos);
    CHECK(page.find("2 of 960 nodes answered") != std::string::npos);
    CHECK(page.size() < 8'000);
}

TEST_CASE("names cannot inject markup into the page", "[report]") {
    auto fleet = std::vector{silent("<b>&\"", "dc")};
    const std::string page = to_html(make_fleet_report(fleet, ""));
    CHECK(page.find("&lt;b&gt;&amp;&quot;") != std::string::npos);
}

TEST_CASE("a node report survives the trip through JSON; a foreign text is an error", "[report]") {
    const auto sent = *fleet_with_a_cut()[0].answer;
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
