#include "daemon/memory/allocator_settings.hpp"
#include "daemon/memory/budget_monitor.hpp"
#include "daemon/memory/byte_reservation.hpp"

#include <catch2/catch.hpp>

#include <memory>
#include <thread>
#include <vector>

namespace cornelpier {

namespace {

constexpr std::size_t kib = 1024;

std::shared_ptr<byte_budget> make_budget(std::size_t limit) {
    return std::make_shared<byte_budget>(limit);
}

} // namespace

// Guards against large holders that leave no room for ordinary small requests.
TEST_CASE("large holders are refused while an eighth of the budget is free", "[memory]") {
    const auto budget = make_budget(800 * kib);
    byte_reservation large{budget, held_bytes::request_bodies};
    CHECK_FALSE(large.resize(701 * kib));
    CHECK(large.size() == 0);
    REQUIRE(large.resize(700 * kib));

    byte_reservation second{budget, held_bytes::request_bodies};
    CHECK_FALSE(second.resize(byte_budget::small_bytes + 1));
    std::vector<byte_reservation> small;
    for (int n = 0; n < 6; ++n) {
        small.emplace_back(budget, held_bytes::heads);
        CHECK(small.back().resize(byte_budget::small_bytes));
    }
    byte_reservation last{budget, held_bytes::heads};
    CHECK_FALSE(last.resize(byte_budget::small_bytes));
    CHECK(budget->usage().refusals == 3);
    CHECK(budget->usage().by_kind.at(static_cast<std::size_t>(held_bytes::request_bodies)) == 700 * kib);
    CHECK(budget->usage().by_kind.at(static_cast<std::size_t>(held_bytes::heads)) == 96 * kib);
}

TEST_CASE("a reservation returns its bytes exactly once", "[memory]") {
    const auto budget = make_budget(100 * kib);
    {
        byte_reservation first{budget, held_bytes::heads};
        REQUIRE(first.resize(10 * kib));
        byte_reservation second{std::move(first)};
        byte_reservation third{budget, held_bytes::unread_responses};
        REQUIRE(third.resize(5 * kib));
        third = std::move(second);
        CHECK(budget->usage().used == 10 * kib);
        REQUIRE(third.resize(kib));
        CHECK(budget->usage().used == kib);
        third.force_resize(500 * kib);
        CHECK(budget->usage().used == 500 * kib);
    }
    CHECK(budget->usage().used == 0);
    for (const auto it : budget->usage().by_kind) {
        CHECK(it == 0);
    }
}

TEST_CASE("a reservation without a budget is always granted", "[memory]") {
    byte_reservation reservation;
    CHECK(reservation.resize(1024 * 1024 * kib));
}

// Guards against a limit that holds only for one thread at a time.
TEST_CASE("threads together never exceed the limit of a budget", "[memory]") {
    constexpr int rounds = 2000;
    const auto budget = make_budget(160 * kib);
    std::atomic<std::size_t> most = 0;
    std::vector<std::thread> threads;
    for (int n = 0; n < 4; ++n) {
        threads.emplace_back([&] {
            for (int round = 0; round < rounds; ++round) {
                byte_reservation reservation{budget, held_bytes::request_bodies};
                static_cast<void>(reservation.resize(60 * kib));
                const auto used = budget->usage().used;
                auto previous = most.load();
                while (used > previous && !most.compare_exchange_weak(previous, used)) {
                }
            }
        });
    }
    for (auto& it : threads) {
        it.join();
    }
    CHECK(most <= 140 * kib);
    CHECK(budget->usage().used == 0);
}

// Guards against a single legal request that cannot be served on a VM of 160 MB.
TEST_CASE("the budget of a small VM has room for one body of the largest size", "[memory]") {
    byte_budget budget{budget_bytes(160), sole_budget_bytes(160)};
    CHECK(budget.has_room_for(std::size_t{64} * kib * kib));
    CHECK_FALSE(budget.has_room_for(std::size_t{72} * kib * kib));
    CHECK(budget.usage().refusals == 1);
    // Beside other holders, the limit is lower.
    budget.take(held_bytes::request_bodies, std::size_t{8} * kib * kib);
    CHECK_FALSE(budget.has_room_for(std::size_t{64} * kib * kib));
    CHECK(budget.has_room_for(std::size_t{40} * kib * kib));
}

TEST_CASE("the budget's exhaustion and recovery are recorded once", "[memory]") {
    budget_monitor monitor;
    byte_budget_usage usage{100, 90, {}, 0};
    CHECK_FALSE(monitor.update(usage));
    usage.refusals = 3;
    const auto exhausted = monitor.update(usage);
    REQUIRE(exhausted);
    CHECK(exhausted->number == event_number::memory_budget_exhausted);
    usage.refusals = 4;
    CHECK_FALSE(monitor.update(usage));
    CHECK_FALSE(monitor.update(usage));
    usage.used = 10;
    const auto recovered = monitor.update(usage);
    REQUIRE(recovered);
    CHECK(recovered->number == event_number::memory_budget_recovered);
    CHECK_FALSE(monitor.update(usage));
}

TEST_CASE("memory is returned after a considerable decrease of the use", "[memory]") {
    constexpr auto decrease = trim_policy::min_decrease;
    trim_policy policy;
    CHECK_FALSE(policy.update(0, 0));
    CHECK_FALSE(policy.update(decrease - 1, decrease - 1));
    CHECK_FALSE(policy.update(0, 0));
    CHECK_FALSE(policy.update(2 * decrease, 2 * decrease));
    CHECK(policy.update(0, 0));
    CHECK_FALSE(policy.update(0, 0));
}

// Guards against memory that stays after a burst between two updates.
TEST_CASE("a burst that is shorter than the interval of the updates is noticed", "[memory]") {
    byte_budget budget{800 * kib};
    budget.take(held_bytes::heads, 700 * kib);
    budget.give_back(held_bytes::heads, 600 * kib);
    CHECK(budget.take_peak() == 700 * kib);
    CHECK(budget.take_peak() == 100 * kib);
    trim_policy policy;
    CHECK(policy.update(0, trim_policy::min_decrease));
}

} // namespace cornelpier
