#include "daemon/timeline/timeline.hpp"

#include <catch2/catch.hpp>

namespace cornelpier {

namespace {

std::string line(std::uint64_t stamp, const std::string& node, std::uint64_t sequence,
                 const std::string& wall, const std::string& request) {
    return R"({"wall":")" + wall + R"(","stamp":)" + std::to_string(stamp) + R"(,"node":")" + node +
           R"(","incarnation":"1","sequence":)" + std::to_string(sequence) +
           R"(,"severity":"info","number":500,"name":"run_refused","fields":{"request":")" + request +
           "\"}}\n";
}

} // namespace

TEST_CASE("events are ordered by hybrid timestamp even if the wall clocks disagree", "[timeline]") {
    timeline events;
    events.add_lines(line(20, "owner", 1, "2026-01-01T05:00:00.000000Z", "r1"));
    events.add_lines(line(10, "entry", 1, "2026-01-01T06:00:00.000000Z", "r1"));

    const auto selected = events.select({});
    REQUIRE(selected.size() == 2);
    CHECK(selected[0].node == "entry");
    CHECK(selected[1].node == "owner");
}

TEST_CASE("filters select by request, node and event; duplicate lines are dropped", "[timeline]") {
    timeline events;
    events.add_lines(line(1, "a", 1, "w", "r1") + line(2, "b", 1, "w", "r2") + line(2, "b", 1, "w", "r2"));

    CHECK(events.select({}).size() == 2);
    CHECK(events.select({"r1", "", ""}).size() == 1);
    CHECK(events.select({"", "b", ""}).size() == 1);
    CHECK(events.select({"", "", "500"}).size() == 2);
    CHECK(events.select({"", "", "run_refused"}).size() == 2);
    CHECK(events.select({"", "", "501"}).empty());
}

TEST_CASE("invalid lines are counted, not shown", "[timeline]") {
    timeline events;
    events.add_lines("half a li\n{\"number\": 3}\n" + line(1, "a", 1, "w", "<b>"));
    CHECK(events.invalid_lines() == 2);
    CHECK(to_html(events.select({})).find("<b>a</b>") != std::string::npos);
    CHECK(to_html(events.select({})).find("request=&lt;b&gt;") != std::string::npos);
}

} // namespace cornelpier
