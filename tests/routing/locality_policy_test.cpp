#include "cornelpier/admission/spill_reserve.hpp"
#include "cornelpier/routing/exchange_size_meter.hpp"
#include "cornelpier/routing/locality_policy.hpp"
#include "cornelpier/routing/spill_limiter.hpp"

#include <catch2/catch.hpp>

namespace cornelpier {

namespace {

using std::chrono::milliseconds;

constexpr locality_options priced{milliseconds{100}, milliseconds{6}};

} // namespace

// Guards against a price that also applies where bytes cost nothing.
TEST_CASE("only bytes to a far data centre have a price", "[routing][locality]") {
    const locality_policy policy{priced};
    CHECK_FALSE(policy.is_far(milliseconds{3}));
    CHECK(policy.is_far(milliseconds{9}));
    CHECK_FALSE(locality_policy{{}}.is_far(milliseconds{9}));
}

// Guards against one price for a short answer and a download.
TEST_CASE("a large exchange never pays, a small one does while its caller has time", "[routing][locality]") {
    const locality_policy policy{priced};
    CHECK(policy.may_pay(400, milliseconds{800}));
    CHECK_FALSE(policy.may_pay(90'000, milliseconds{5000}));
    CHECK_FALSE(policy.may_pay(400, milliseconds{50}));
    CHECK(policy.exchange_cost(10'000) > policy.exchange_cost(400));
}

// Guards against an entry that keeps offering a neighbour what it refuses, or never notices its recovery.
TEST_CASE("refusals lower the share that may leave, accepted calls raise it", "[routing][locality]") {
    spill_limiter limiter;
    const double initial = limiter.share();
    limiter.on_refused();
    CHECK(limiter.share() < initial);
    for (int i = 0; i < 40; ++i) {
        limiter.on_refused();
    }
    const double least = limiter.share();
    CHECK(least > 0);
    limiter.on_accepted();
    CHECK(limiter.share() > least);
    CHECK(limiter.share() < 2 * initial);
    for (int i = 0; i < 100; ++i) {
        limiter.on_accepted();
    }
    random_source random{1};
    CHECK(limiter.share() == Approx(1));
    CHECK(limiter.admits(random));
}

// Guards against spilled runs that take the slots which the data centre's own callers are about to use.
TEST_CASE("spilled runs leave slots free for the usual load and never queue", "[admission][locality]") {
    CHECK(has_room_for_spilled_run(4, 0, 6, 0));
    CHECK_FALSE(has_room_for_spilled_run(5, 0, 6, 0));
    CHECK(has_room_for_spilled_run(3, 0, 6, 4));
    CHECK_FALSE(has_room_for_spilled_run(4, 0, 6, 4));
    CHECK_FALSE(has_room_for_spilled_run(0, 1, 6, 0));
    CHECK_FALSE(has_room_for_spilled_run(0, 0, 1, 0));
}

TEST_CASE("the size of a route's exchanges follows its average", "[routing][locality]") {
    exchange_size_meter meter;
    meter.add(90'000);
    CHECK(meter.expected() == 90'000);
    meter.add(0);
    CHECK(meter.expected() < 90'000);
    CHECK(meter.expected() > 50'000);
}

} // namespace cornelpier
