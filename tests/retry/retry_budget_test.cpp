#include "cornelpier/retry/hedge_policy.hpp"
#include "cornelpier/retry/retry_budget.hpp"

#include <catch2/catch.hpp>

#include <chrono>

namespace cornelpier {

using std::chrono::milliseconds;

TEST_CASE("retries are limited by the initial tokens and a ratio of the calls", "[retry]") {
    retry_budget budget{0.1, 5, 8};
    int taken = 0;
    for (int i = 0; i < 1000; ++i) {
        budget.on_call();
        taken += budget.try_take() ? 1 : 0;
    }
    CHECK(taken >= 100);
    CHECK(taken <= 105);
    for (int i = 0; i < 1000; ++i) {
        budget.on_call();
    }
    CHECK(budget.tokens() <= 8); // A quiet hour must not allow a retry storm afterwards.
}

TEST_CASE("the hedge delay is the 95th percentile of the latest answers", "[retry]") {
    hedge_policy policy;
    CHECK_FALSE(policy.delay());
    for (int i = 0; i < 1000; ++i) {
        policy.on_latency(i % 100 < 90 ? milliseconds{2} : milliseconds{40});
    }
    CHECK(policy.delay() >= milliseconds{40});
    CHECK(policy.delay() < milliseconds{46});
    CHECK(policy.median() < milliseconds{3});

    for (int i = 0; i < 20000; ++i) {
        policy.on_latency(milliseconds{2});
    }
    CHECK(policy.delay() < milliseconds{3});
}

} // namespace cornelpier
