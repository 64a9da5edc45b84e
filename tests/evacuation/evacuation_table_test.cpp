#include "platform/evacuation_table.hpp"

#include <catch2/catch.hpp>

#include <string>

namespace cornelpier::platform {

namespace {

using std::chrono::seconds;

const time_point start{seconds{1000}};
const data_centre_id north{"north"};
const data_centre_id south{"south"};

bool is_any(const data_centre_id& /*data_centre*/) {
    return true;
}

bool is_none(const data_centre_id& /*data_centre*/) {
    return false;
}

store_item item(const data_centre_id& data_centre) {
    return {evacuation_key(data_centre), "{}", 1};
}

} // namespace

TEST_CASE("an evacuation is in force until its key is removed", "[platform][evacuation]") {
    evacuation_table table;
    CHECK_FALSE(table.put(evacuation_key(north), "{}"));
    CHECK_FALSE(table.put(evacuation_key(south), R"({"reason": "flood"})"));
    CHECK(table.check_known(is_any).empty());
    CHECK(table.in_force() == std::vector{north, south});
    table.erase(evacuation_key(north));
    CHECK(table.in_force() == std::vector{south});
    // Lost changes are made up for by a listing.
    CHECK(table.on_listing({}, start).empty());
    CHECK(table.in_force().empty());
}

// Guards against an evacuation that ends because something overwrites its key.
TEST_CASE("a value that is not a JSON object is refused and changes nothing", "[platform][evacuation]") {
    evacuation_table table;
    for (const std::string value : {"", "[]", "1", "null", "{", "\xff", "{}x"}) {
        CHECK(table.put(evacuation_key(north), value));
        CHECK(table.requested().empty());
    }
    CHECK(table.put(std::string{evacuation_prefix}, "{}"));
    CHECK(table.put(evacuation_key(data_centre_id{std::string(100'000, 'x')}), "{}")->place.size() < 1000);

    CHECK_FALSE(table.put(evacuation_key(north), "{}"));
    table.check_known(is_any);
    CHECK(table.put(evacuation_key(north), "[]"));
    CHECK(table.on_listing({{evacuation_key(north), "[]", 1}}, start).size() == 1);
    CHECK(table.in_force() == std::vector{north});
}

TEST_CASE("an unknown data centre is reported once and evacuated when it becomes known",
          "[platform][evacuation]") {
    evacuation_table table;
    CHECK_FALSE(table.put(evacuation_key(north), "{}"));
    const auto unknown = table.check_known(is_none);
    REQUIRE(unknown.size() == 1);
    CHECK(unknown[0].place == "op/evacuate/north");
    CHECK(table.check_known(is_none).empty());
    CHECK(table.in_force().empty());
    CHECK(table.requested() == std::vector{north});
    table.check_known(is_any);
    CHECK(table.in_force() == std::vector{north});
    // Guards against the end of an evacuation because all servers were stopped during it.
    table.check_known(is_none);
    CHECK(table.in_force() == std::vector{north});
}

// Guards against memory that the store's keys can fill.
TEST_CASE("more than 64 evacuations are refused, and those in force stay", "[platform][evacuation]") {
    evacuation_table table;
    std::vector<store_item> items;
    for (std::size_t n = 0; n <= max_evacuated_data_centres; ++n) {
        items.push_back(item(data_centre_id{std::to_string(n)}));
    }
    CHECK(table.on_listing(items, start).size() == 1);
    CHECK(table.requested().size() == max_evacuated_data_centres);
    CHECK(table.put(evacuation_key(north), "{}"));
    // A listing in which others have taken their place is applied as a whole.
    CHECK(table.on_listing({item(north)}, start).empty());
    CHECK(table.requested() == std::vector{north});
}

// Guards against requests to a data centre whose evacuation was lost with the store's last seconds.
TEST_CASE("an evacuation that an older copy lacks stays in force for 10 s", "[platform][evacuation]") {
    evacuation_table table;
    CHECK(table.on_listing({item(north), item(south)}, start).empty());
    table.check_known(is_any);
    table.on_restored(start);
    CHECK(table.on_listing({}, start + seconds{1}).empty());
    CHECK(table.has_pending());
    CHECK(table.expire(start + seconds{9}) == start + seconds{10});
    CHECK(table.in_force() == std::vector{north, south});

    CHECK_FALSE(table.put(evacuation_key(south), "{}"));
    CHECK_FALSE(table.expire(start + seconds{10}));
    CHECK_FALSE(table.has_pending());
    CHECK(table.in_force() == std::vector{south});
}

TEST_CASE("an evacuation is withdrawn at once after a restore too", "[platform][evacuation]") {
    evacuation_table table;
    CHECK(table.on_listing({item(north)}, start).empty());
    table.on_restored(start);
    CHECK(table.on_listing({}, start).empty());
    table.erase(evacuation_key(north));
    CHECK(table.requested().empty());
    CHECK_FALSE(table.has_pending());
}

} // namespace cornelpier::platform
