#include "cornelpier/routing/baseline_policies.hpp"
#include "cornelpier/routing/least_estimate_policy.hpp"

#include <catch2/catch.hpp>

#include <array>
#include <chrono>

namespace cornelpier {

namespace {

using std::chrono::milliseconds;

const std::array<target_id, 3> names{target_id{"a"}, target_id{"b"}, target_id{"c"}};

std::array<std::size_t, 3> shares(any_balancing_policy policy, const std::array<candidate, 3>& candidates) {
    random_source random{3};
    std::array<std::size_t, 3> result{};
    for (int i = 0; i < 300; ++i) {
        ++result.at(policy.choose(candidates, random));
    }
    return result;
}

} // namespace

TEST_CASE("the lowest estimate wins and ties are broken evenly", "[routing][policy]") {
    const std::array<candidate, 3> candidates{candidate{&names[0], milliseconds{5}},
                                              candidate{&names[1], milliseconds{3}},
                                              candidate{&names[2], milliseconds{3}}};
    const auto result = shares(any_balancing_policy{least_estimate_policy{}}, candidates);
    CHECK(result[0] == 0);
    CHECK(result[1] > 110);
    CHECK(result[2] > 110);
}

TEST_CASE("baseline policies choose by their own criteria", "[routing][policy]") {
    const std::array<candidate, 3> candidates{candidate{&names[0], milliseconds{1}, {}, 9, 9},
                                              candidate{&names[1], milliseconds{2}, {}, 1, 5},
                                              candidate{&names[2], milliseconds{3}, {}, 7, 1}};
    CHECK(shares(any_balancing_policy{round_robin_policy{}}, candidates) ==
          std::array<std::size_t, 3>{100, 100, 100});
    CHECK(shares(any_balancing_policy{least_reported_load_policy{}}, candidates)[1] == 300);
    for (const auto share : shares(any_balancing_policy{random_policy{}}, candidates)) {
        CHECK(share > 70);
    }
    // The busiest of three candidates loses every comparison.
    CHECK(shares(any_balancing_policy{two_choices_policy{}}, candidates)[0] == 0);

    const auto cost = [](const target_id& it) { return milliseconds{it == names[2] ? 1 : 2}; };
    CHECK(shares(any_balancing_policy{oracle_policy{cost}}, candidates)[2] == 300);
}

} // namespace cornelpier
