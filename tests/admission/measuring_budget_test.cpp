#include "cornelpier/admission/measuring_budget.hpp"

#include <catch2/catch.hpp>

namespace cornelpier {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr time_point start{seconds{100}};

} // namespace

TEST_CASE("a restart does not renew the budget", "[budget]") {
    measuring_budget budget{start};
    budget.set_rate({5});
    CHECK_FALSE(budget.try_take(start));
    CHECK_FALSE(budget.try_take(start + seconds{1}));
    CHECK(budget.try_take(start + seconds{1} + duration{1}));
}

TEST_CASE("a rate below one per second lengthens the window", "[budget]") {
    measuring_budget budget{start};
    budget.set_rate({0.5});
    CHECK_FALSE(budget.try_take(start + seconds{2}));
    CHECK(budget.try_take(start + milliseconds{2001}));
    CHECK_FALSE(budget.try_take(start + milliseconds{4001}));
    CHECK(budget.try_take(start + milliseconds{4002}));
}

TEST_CASE("a rate of zero allows no measurement", "[budget]") {
    measuring_budget budget{start};
    budget.set_rate({0});
    CHECK_FALSE(budget.try_take(start + seconds{1000}));
    CHECK_FALSE(budget.next_available(start));
}

TEST_CASE("measurements before a change of the rate still count", "[budget]") {
    measuring_budget budget{start};
    budget.set_rate({20});
    const time_point later = start + seconds{10};
    for (int n = 0; n < 4; ++n) {
        REQUIRE(budget.try_take(later));
    }
    budget.set_rate({5});
    CHECK(budget.try_take(later + milliseconds{1}));
    CHECK_FALSE(budget.try_take(later + milliseconds{999}));
    budget.set_rate({0.5});
    CHECK_FALSE(budget.try_take(later + milliseconds{2001}));
    CHECK(budget.try_take(later + milliseconds{2002}));
    budget.set_rate({2});
    CHECK(budget.try_take(later + milliseconds{2003}));
    CHECK_FALSE(budget.try_take(later + milliseconds{3002}));
}

TEST_CASE(
    "part of a large rate is reserved for the start, so that windows with a restart stay within the rate",
    "[budget]") {
    constexpr std::size_t rate_per_second = 40;
    const time_point restart = start + seconds{10};
    measuring_budget predecessor{start};
    predecessor.set_rate({rate_per_second});
    measuring_budget successor{restart};
    successor.set_rate({rate_per_second});

    std::size_t taken = 0;
    while (predecessor.try_take(restart)) {
        ++taken;
    }
    std::size_t taken_at_start = 0;
    while (successor.try_take(restart)) {
        ++taken_at_start;
    }
    CHECK(taken_at_start > 0);
    CHECK(taken + taken_at_start == rate_per_second);
    CHECK_FALSE(successor.try_take(restart + seconds{1}));
    CHECK(successor.try_take(restart + seconds{1} + duration{1}));
}

} // namespace cornelpier
