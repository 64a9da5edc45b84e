#include "cornelpier/plan/plan_parser.hpp"
#include "cornelpier/routing/subset.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace cornelpier {

namespace {

nlohmann::json sheet_with(const nlohmann::json& evacuated) {
    auto sheet = nlohmann::json::parse(R"({"version": 1, "deployment": "x", "services": [
        {"id": "s", "slots": 1, "targets": [
          {"id": "a", "vm": "va", "data_centre": "dc-a", "node": "127.0.0.1:1"},
          {"id": "b", "vm": "vb", "data_centre": "dc-b", "node": "127.0.0.1:2"}]}]})");
    sheet["evacuated_data_centres"] = evacuated;
    return sheet;
}

} // namespace

TEST_CASE("a plan sheet names the evacuated data centres", "[evacuation]") {
    const auto parsed = parse_plan(sheet_with({"dc-b", "dc-a", "dc-b"}).dump());
    REQUIRE(has_value(parsed));
    const auto& checked = std::get<plan>(parsed);
    CHECK(checked.evacuated_data_centres == std::vector{data_centre_id{"dc-a"}, data_centre_id{"dc-b"}});
    CHECK(checked.is_evacuated(data_centre_id{"dc-a"}));
    CHECK_FALSE(checked.is_evacuated(data_centre_id{"dc-c"}));
}

// Guards against a misspelt name that leaves the data centre in use without notice.
TEST_CASE("a plan sheet that evacuates an unknown data centre is refused", "[evacuation]") {
    for (const auto& evacuated :
         {nlohmann::json{"dc-c"}, nlohmann::json{""}, nlohmann::json{3}, nlohmann::json("dc-a"),
          nlohmann::json(std::vector<std::string>(65, "dc-a"))}) {
        CHECK_FALSE(has_value(parse_plan(sheet_with(evacuated).dump())));
    }
}

// Guards against targets that all entries leave out or that most entries use, after an evacuation.
TEST_CASE("subsets stay full and even without the evacuated targets", "[evacuation]") {
    plan sheet;
    service_plan service;
    service.id = service_id{"s"};
    for (int n = 0; n < 36; ++n) {
        service.targets.push_back(
            {target_id{std::to_string(n)}, {}, data_centre_id{"dc-" + std::to_string(n % 4)}, {}});
    }
    sheet.services = {service};
    const auto entries = subset_entries(sheet);
    std::vector<std::size_t> uses(service.targets.size());
    for (const auto& entry : entries) {
        const auto subset =
            choose_subset(service, entries, entry.id, entry.data_centre, {data_centre_id{"dc-1"}});
        CHECK(subset.size() == max_subset_size);
        for (const auto i : subset) {
            CHECK(service.targets[i].data_centre != data_centre_id{"dc-1"});
            ++uses[i];
        }
    }
    std::erase(uses, 0);
    CHECK(uses.size() == 27);
    const auto [low, high] = std::ranges::minmax(uses);
    CHECK(high - low <= 1);
}

} // namespace cornelpier
