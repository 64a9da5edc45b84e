#include "cornelpier/membership/reader_roles.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

namespace cornelpier {

namespace {

constexpr duration silence = std::chrono::milliseconds{1300};

std::vector<target_id> nodes(std::size_t count) {
    std::vector<target_id> result;
    for (std::size_t n = 0; n < count; ++n) {
        result.emplace_back("10.0.0." + std::to_string(n));
    }
    return result;
}

std::size_t readers_among(const std::vector<target_id>& members) {
    return static_cast<std::size_t>(std::ranges::count_if(members, [&](const target_id& self) {
        reader_roles roles{self, silence};
        roles.set_members(data_centre_id{"a"}, members);
        return roles.is_reader();
    }));
}

} // namespace

TEST_CASE("one or two nodes of a data centre read", "[membership]") {
    CHECK(readers_among(nodes(1)) == 1);
    CHECK(readers_among(nodes(5)) == 1);
    CHECK(readers_among(nodes(6)) == 2);
    CHECK(readers_among(nodes(40)) == 2);
}

TEST_CASE("a node that hears no reader reads for itself", "[membership]") {
    const auto members = nodes(5);
    const auto self = std::ranges::find_if(members, [&](const target_id& it) {
        reader_roles roles{it, silence};
        roles.set_members(data_centre_id{"a"}, members);
        return !roles.is_reader();
    });
    REQUIRE(self != members.end());
    reader_roles roles{*self, silence};
    const time_point start{std::chrono::seconds{100}};
    CHECK(roles.must_read(start));
    roles.set_members(data_centre_id{"a"}, members);
    roles.on_confirmed(start);
    CHECK_FALSE(roles.must_read(start + silence - duration{1}));
    CHECK(roles.must_read(start + silence));
}

TEST_CASE("a node that the others do not know is told nothing and reads", "[membership]") {
    reader_roles roles{target_id{"10.0.9.9"}, silence};
    roles.set_members(data_centre_id{"a"}, nodes(5));
    CHECK_FALSE(roles.is_reader());
    CHECK(roles.must_read(time_point{std::chrono::seconds{100}}));
}

} // namespace cornelpier
