#include "cornelpier/plan/entry_pairing.hpp"
#include "cornelpier/plan/plan_check.hpp"
#include "cornelpier/plan/plan_difference.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <iterator>
#include <string>
#include <vector>

namespace cornelpier {

namespace {

using positions = std::vector<std::size_t>;

route make_route(const std::string& name, const std::string& prefix, std::uint32_t weight = 1) {
    route result;
    result.name = name;
    result.host = "a.example";
    result.path_prefix = prefix;
    result.timeout = std::chrono::seconds{1};
    result.objective = result.timeout;
    result.weighted_services = {{service_id{"orders"}, weight}};
    return result;
}

plan_document make_document(std::vector<route> routes) {
    plan_document document;
    document.is_routed = true;
    for (std::size_t n = 0; n < routes.size(); ++n) {
        document.route_places.push_back("/r/" + std::to_string(n));
    }
    document.routes = std::move(routes);
    service_plan service;
    service.id = service_id{"orders"};
    document.content.services.push_back(service);
    document.service_places = {"/s/0"};
    document.service_values.emplace_back();
    return document;
}

std::vector<std::string> lines_of(const std::vector<plan_change>& changes) {
    std::vector<std::string> lines;
    std::ranges::transform(changes, std::back_inserter(lines), [](const plan_change& it) {
        return std::string{to_string(it.kind)} + ' ' + it.entry + ' ' + it.name;
    });
    return lines;
}

} // namespace

// A report that lists every entry behind an inserted one as moved hides the one that did move.
TEST_CASE("the fewest entries count as moved", "[plan-check]") {
    CHECK(moved_positions({}).empty());
    CHECK(moved_positions({0, 1, 2}).empty());
    CHECK(moved_positions({3, 0, 1, 2}) == positions{0});
    CHECK(moved_positions({1, 2, 3, 0}) == positions{3});
    CHECK(moved_positions({2, 1, 0}) == positions{0, 1});
}

TEST_CASE("entries are paired by name and match, then by either", "[plan-check]") {
    const std::vector<plan_entry> before{{"a", "x", {}}, {"b", "y", {}}, {"b", "z", {}}, {"c", "", {}}};
    const std::vector<plan_entry> after{{"b", "z", {}}, {"a", "w", {}}, {"d", "y", {}}, {"e", "", {}}};
    const auto pairing = pair_entries(before, after);
    CHECK(pairing.pairs == std::vector<std::pair<std::size_t, std::size_t>>{{2, 0}, {0, 1}, {1, 2}});
    CHECK(pairing.removed == positions{3});
    CHECK(pairing.added == positions{3});
}

TEST_CASE("two routes that exchange their prefixes have moved", "[plan-check]") {
    const auto before = make_document({make_route("r-1", "/a/"), make_route("r-2", "/b/")});
    const auto after = make_document({make_route("r-2", "/a/"), make_route("r-1", "/b/")});
    CHECK(lines_of(difference(before, after)) ==
          std::vector<std::string>{"moved route r-2", "moved route r-1"});
    CHECK(difference(before, before).empty());
}

// Precedence follows from the length of the prefix, so that the order of routes has no effect.
TEST_CASE("the order of routes is no difference", "[plan-check]") {
    const auto before = make_document({make_route("r-1", "/a/"), make_route("r-2", "/b/")});
    const auto after = make_document({make_route("r-2", "/b/"), make_route("r-1", "/a/")});
    CHECK(difference(before, after).empty());
}

// The decoder of the manifest refuses such a route before; other formats may not.
TEST_CASE("the check of routes does not depend on a decoder", "[plan-check]") {
    const auto findings = plan_check{}.run(make_document({make_route("r-1", "/a/", 0)}));
    REQUIRE(findings.size() == 1);
    CHECK(findings[0].kind == finding_kind::zero_weights);
    CHECK(findings[0].place == "/r/0/service");
}

TEST_CASE("without knowledge of the fleet nothing is said of attempts", "[plan-check]") {
    auto it = make_route("r-1", "/a/");
    it.max_attempts = 1000;
    const auto document = make_document({it});
    CHECK(plan_check{}.run(document).empty());

    fleet_facts facts;
    facts.retry_budget = fleet_retry_budget{0.1, 0};
    const auto findings = plan_check{facts}.run(document);
    REQUIRE(findings.size() == 1);
    CHECK(findings[0].kind == finding_kind::attempts_above_budget);
}

} // namespace cornelpier
