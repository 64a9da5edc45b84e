#include "tests/server_advice/advised_fleet.hpp"

#include <catch2/catch.hpp>

namespace cornelpier::testing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

} // namespace

TEST_CASE("servers get no more requests than the rate that they name allows", "[rate-limit]") {
    advised_fleet it{4};
    it.press(advised_fleet::normal_load, seconds{5});
    const time_point named_at = it.now();
    for (std::size_t n = 0; n < 3; ++n) {
        it.limit(n, rate{5});
    }
    it.press(advised_fleet::normal_load, seconds{15});
    for (std::size_t n = 0; n < 3; ++n) {
        CHECK(it.most_arrivals(n, named_at + advised_fleet::reaction_time, it.now()) <=
              advised_fleet::allowed(rate{5}));
    }
    // The server without a limit takes what the others do not.
    CHECK(it.arrivals(3, named_at + seconds{5}, it.now()) >= 25 * 10);
}

TEST_CASE("the rate that a server names holds while the node beside it restarts", "[rate-limit]") {
    advised_fleet it{4};
    it.press(advised_fleet::normal_load, seconds{3});
    const time_point named_at = it.now();
    it.limit(0, rate{2});
    it.press(advised_fleet::normal_load, seconds{4});
    for (int n = 0; n < 6; ++n) {
        it.nodes().restart(it.target(0));
        it.press(advised_fleet::normal_load, milliseconds{700});
    }
    CHECK(it.most_arrivals(0, named_at + advised_fleet::reaction_time, it.now()) <=
          advised_fleet::allowed(rate{2}));
}

TEST_CASE("a service whose servers all name a rate serves orders first and rejects the rest at once",
          "[rate-limit]") {
    advised_fleet it{4};
    it.press(advised_fleet::normal_load, seconds{3});
    for (std::size_t n = 0; n < 4; ++n) {
        it.limit(n, rate{5});
    }
    it.press(rate{40}, seconds{3}, {"GET", "POST", "GET"});
    const time_point from = it.now();
    it.press(rate{40}, seconds{12}, {"GET", "POST", "GET"});
    const time_point until = it.now();
    it.press(rate{1}, seconds{3});

    const auto orders = it.calls_with("POST", 200, from, until).size();
    const auto rejected_orders = it.calls_with("POST", 503, from, until).size();
    CHECK(orders >= 9 * rejected_orders);
    // Work goes on at the rate that the servers accept together.
    CHECK(orders + it.calls_with("GET", 200, from, until).size() >= 20 * 12 * 8 / 10);

    const auto rejected = it.calls_with("GET", 503, from, until);
    REQUIRE(rejected.size() >= 100);
    std::size_t slow = 0;
    for (const auto& call : rejected) {
        CHECK(call.answers.front().outcome == verdict::not_run);
        CHECK(call.answers.front().retry_after > duration::zero());
        slow += call.answers.front().at - call.sent > milliseconds{250} ? 1 : 0;
    }
    CHECK(slow * 10 <= rejected.size());
}

TEST_CASE("a server that names no rate any more gets its share of the requests again", "[rate-limit]") {
    advised_fleet it{4};
    it.press(advised_fleet::normal_load, seconds{3});
    it.limit(0, rate{0.2});
    it.press(advised_fleet::normal_load, seconds{10});
    it.limit(0, std::nullopt);
    const time_point withdrawn_at = it.now();
    it.press(advised_fleet::normal_load, seconds{10});
    CHECK(it.arrivals(0, withdrawn_at + seconds{5}, it.now()) >= 30);
}

TEST_CASE("a server that accepts no requests gets none and is noticed when it recovers", "[rate-limit]") {
    advised_fleet it{4};
    it.press(advised_fleet::normal_load, seconds{3});
    it.limit(0, rate{0});
    const time_point named_at = it.now();
    it.press(advised_fleet::normal_load, seconds{12});
    CHECK(it.arrivals(0, named_at + advised_fleet::reaction_time, it.now()) == 0);
    it.limit(0, std::nullopt);
    const time_point withdrawn_at = it.now();
    it.press(advised_fleet::normal_load, seconds{10});
    CHECK(it.arrivals(0, withdrawn_at + seconds{5}, it.now()) >= 30);
}

} // namespace cornelpier::testing
