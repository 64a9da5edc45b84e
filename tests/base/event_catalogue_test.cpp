#include "cornelpier/base/event_catalogue.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <fstream>
#include <set>
#include <string>

namespace cornelpier {

namespace {

/// @return the table rows of docs/events.md that describe an event.
std::set<std::string> documented_events() {
    std::ifstream page{std::string{CORNELPIER_SOURCE_DIR} + "/docs/events.md"};
    std::set<std::string> lines;
    for (std::string line; std::getline(page, line);) {
        if (line.size() > 2 && line[0] == '|' && line[2] >= '1' && line[2] <= '9') {
            lines.insert(line);
        }
    }
    return lines;
}

} // namespace

TEST_CASE("the events page lists exactly the events of the code", "[events]") {
    const auto lines = documented_events();
    CHECK(lines.size() == event_catalogue().size());

    for (const auto& it : event_catalogue()) {
        const std::string start = "| " + std::to_string(static_cast<int>(it.number)) + " | " +
                                  std::string{it.name} + " | " + std::string{to_string(it.level)} + " | ";
        INFO(start);
        CHECK(std::ranges::any_of(lines, [&](const std::string& line) { return line.starts_with(start); }));
    }
}

} // namespace cornelpier
