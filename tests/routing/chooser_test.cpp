#include "cornelpier/routing/baseline_choosers.hpp"
#include "cornelpier/routing/least_estimate_chooser.hpp"

#include <catch2/catch.hpp>

#include <array>
#include <chrono>

namespace cornelpier {

namespace {

using std::chrono::milliseconds;

const std::array<target_id, 3> names{target_id{"a"}, target_id{"b"}, target_id{"c"}};

std::array<std::size_t, 3> shares(any_chooser policy, const std::array<candidate, 3>& candidates) {
    random_source random{3};
    std::array<std::size_t, 3> result{};
    for (int i = 0; i < 300; ++i) {
        ++result.at(policy.choose(candidates, random));
    }
    return result;
}

} // namespace

TEST_CASE("the lowest estimate wins and ties are broken evenly", "[routing][chooser]") {
    const std::array<candidate, 3> candidates{candidate{&names[0], milliseconds{5}},
                                              candidate{&names[1], milliseconds{3}},
                                              candidate{&names[2], milliseconds{3}}};
    const auto result = shares(any_chooser{least_estimate_chooser{}}, candidates);
    CHECK(result[0] == 0);
    CHECK(result[1] > 110);
    CHECK(result[2] > 110);
}

TEST_CASE("policies for comparison choose by their own measure", "[routing][chooser]") {
    const std::array<candidate, 3> candidates{candidate{&names[0], milliseconds{1}, {}, 9, 9},
                                              candidate{&names[1], milliseconds{2}, {}, 1, 5},
                                              candidate{&names[2], milliseconds{3}, {}, 7, 1}};
    CHECK(shares(any_chooser{round_robin_chooser{}}, candidates) ==
          std::array<std::size_t, 3>{100, 100, 100});
    CHECK(shares(any_chooser{least_reported_chooser{}}, candidates)[1] == 300);
    for (const auto share : shares(any_chooser{random_chooser{}}, candidates)) {
        CHECK(share > 70);
    }
    // The busiest of three loses every pair.
    CHECK(shares(any_chooser{better_of_two_chooser{}}, candidates)[0] == 0);

    const auto cost = [](const target_id& it) { return milliseconds{it == names[2] ? 1 : 2}; };
    CHECK(shares(any_chooser{perfect_knowledge_chooser{cost}}, candidates)[2] == 300);
}

} // namespace cornelpier
