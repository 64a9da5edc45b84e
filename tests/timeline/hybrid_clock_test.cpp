#include "cornelpier/timeline/hybrid_clock.hpp"

#include <catch2/catch.hpp>

namespace cornelpier {

using namespace std::chrono_literals;

TEST_CASE("timestamps of a receiver whose clock is behind are greater than that of the received message",
          "[hybrid_clock]") {
    hybrid_clock sender;
    hybrid_clock receiver;
    const auto sent = sender.next(1'000'000ms);
    receiver.merge(sent, 995'000ms);
    CHECK(receiver.next(995'000ms) > sent);
}

TEST_CASE("timestamps increase even if the wall clock moves back", "[hybrid_clock]") {
    hybrid_clock clock;
    const auto first = clock.next(2'000ms);
    const auto second = clock.next(1'000ms);
    CHECK(second > first);
    CHECK(wall_time_of(clock.next(3'000ms)) == 3'000ms);
}

TEST_CASE("a clock that is far ahead does not shift the timestamps of other nodes", "[hybrid_clock]") {
    hybrid_clock broken;
    hybrid_clock receiver;
    receiver.merge(broken.next(100h), 1h);
    CHECK(wall_time_of(receiver.next(1h)) == 1h);
}

} // namespace cornelpier
