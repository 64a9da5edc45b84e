#include "cornelpier/health/health_table.hpp"
#include "cornelpier/health/slow_start.hpp"
#include "cornelpier/health/target_health.hpp"

#include <catch2/catch.hpp>

#include <array>
#include <chrono>

namespace cornelpier {

namespace {

using enum health_outcome;
using std::chrono::seconds;

const time_point start{seconds{10}};

void record_outcomes(target_health& health, health_outcome outcome, int n) {
    for (int i = 0; i < n; ++i) {
        health.on_outcome(outcome, true, start);
    }
}

} // namespace

TEST_CASE("consecutive failures eject a target, fast ones sooner", "[health]") {
    target_health health;
    record_outcomes(health, failure, 4);
    record_outcomes(health, success, 1);
    record_outcomes(health, failure, 4);
    CHECK(health.state() == health_state::healthy);
    record_outcomes(health, failure, 1);
    CHECK(health.state() == health_state::ejected);

    target_health fast;
    record_outcomes(fast, fast_failure, 3);
    CHECK(fast.state() == health_state::ejected);
}

// Alternating failures and successes never reach the limit of consecutive failures.
TEST_CASE("a high failure rate ejects a target", "[health]") {
    target_health health;
    for (int i = 0; i < 40; ++i) {
        record_outcomes(health, failure, 3);
        record_outcomes(health, success, 1);
    }
    CHECK(health.state() == health_state::ejected);
}

TEST_CASE("an ejected target recovers through one trial request at a time", "[health]") {
    target_health health;
    record_outcomes(health, failure, 5);
    health.update(start + std::chrono::milliseconds{999});
    CHECK_FALSE(health.needs_trial());
    health.update(start + seconds{1});
    CHECK(health.needs_trial());
    health.trial_sent();
    CHECK_FALSE(health.needs_trial());

    SECTION("an abandoned trial is repeated") {
        health.trial_abandoned();
        CHECK(health.needs_trial());
    }
    SECTION("success") {
        health.on_outcome(success, true, start + seconds{2});
        CHECK(health.state() == health_state::healthy);
        CHECK(health.recovered_at() == start + seconds{2});
    }
    SECTION("failure doubles the ejection time") {
        health.on_outcome(failure, true, start + seconds{1});
        health.update(start + seconds{2});
        CHECK(health.state() == health_state::ejected);
        health.update(start + seconds{3});
        CHECK(health.state() == health_state::trial);
    }
}

TEST_CASE("the failure rate decays without new outcomes", "[health]") {
    target_health health;
    record_outcomes(health, failure, 2);
    CHECK(health.failure_rate(start) > 0.1);
    CHECK(health.failure_rate(start + seconds{10}) < 0.001);
}

// A network partition makes many targets fail at once; the remaining ones must not receive all traffic.
TEST_CASE("at most a third of a subset is ejected", "[health]") {
    const std::size_t size = GENERATE(1U, 2U, 5U, 6U, 12U);
    std::vector<target_id> subset;
    for (std::size_t i = 0; i < size; ++i) {
        subset.emplace_back(std::to_string(i));
    }
    health_table table;
    std::size_t ejected = 0;
    for (const auto& it : subset) {
        for (int i = 0; i < 10; ++i) {
            table.on_outcome(it, failure, subset, start);
        }
        ejected += table.at(it, start).state() == health_state::ejected ? 1 : 0;
    }
    CHECK(ejected == size / 3);
}

TEST_CASE("the share in slow start grows linearly", "[health]") {
    CHECK(slow_start_share({}) > 0);
    CHECK(slow_start_share(seconds{5}) == Approx(0.5));
    CHECK(slow_start_share(seconds{10}) == 1);
    CHECK(slow_start_share(seconds{100}) == 1);
}

} // namespace cornelpier
