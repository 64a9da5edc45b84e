#include "cornelpier/admission/run_pacer.hpp"
#include "cornelpier/base/random_source.hpp"

#include "tests/warm_up/start_counter.hpp"

#include <catch2/catch.hpp>

namespace cornelpier {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point start{seconds{100}};
constexpr rate cold_rate{5.3};

/// A pacer of a service with a warm-up rate whose owner has been running for a while.
run_pacer make_pacer(rate limit = cold_rate) {
    run_pacer result;
    result.set_warm_up_rate(limit, start - seconds{10});
    return result;
}

/// Starts as many runs as the pacer allows in a period.
void press(run_pacer& pacer, start_counter& counter, time_point from, duration length) {
    for (time_point at = from; at < from + length; at += milliseconds{5}) {
        while (pacer.wait(0, at) == duration::zero() && counter.count() < 100'000) {
            pacer.on_start(at);
            counter.add(at);
        }
    }
}

/// Starts runs at an even pace whatever the pacer says, as at a warm server.
void run_warm(run_pacer& pacer, start_counter& counter, time_point from, duration length, rate traffic) {
    for (time_point at = from; at < from + length; at += from_seconds(1 / traffic.per_second)) {
        REQUIRE(pacer.wait(0, at) == duration::zero());
        pacer.on_start(at);
        counter.add(at);
    }
}

} // namespace

// Guards against a limit for services without a warm-up rate, and for warm servers.
TEST_CASE("only a cold server of a service with a warm-up rate is paced", "[warm-up]") {
    run_pacer without;
    without.set_cold_until(time_point::max(), start);
    CHECK(without.wait(100, start) == duration::zero());
    CHECK_FALSE(without.rate_in_force(start));

    run_pacer it = make_pacer();
    CHECK(it.wait(100, start) == duration::zero());
    it.set_cold_until(start + seconds{3}, start);
    CHECK(it.rate_in_force(start) == cold_rate);
    CHECK(it.wait(100, start) > seconds{1});
    // The end takes effect at once.
    CHECK(it.wait(100, start + seconds{3}) == duration::zero());
    CHECK_FALSE(it.rate_in_force(start + seconds{3}));
}

// Guards against a pace below the rate, which would waste what a cold server can do.
TEST_CASE("a cold server gets a small burst and then its rate", "[warm-up]") {
    run_pacer it = make_pacer();
    it.set_cold_until(time_point::max(), start);
    start_counter counter;
    press(it, counter, start, milliseconds{10});
    CHECK(counter.count() == warm_up_pacer::burst + 1);
    press(it, counter, start + milliseconds{10}, seconds{10});
    CHECK(counter.count() >= 53);
    CHECK(counter.count() <= 53 + warm_up_pacer::burst + 1);
    CHECK(counter.most_in_a_second() <= start_counter::allowed(cold_rate));
    CHECK(it.wait(10, start + seconds{10}) > it.wait(0, start + seconds{10}));
}

// Guards against the runs of the last second being forgotten when a server turns cold without notice.
TEST_CASE("runs before a server turned cold count", "[warm-up]") {
    run_pacer it = make_pacer();
    start_counter counter;
    run_warm(it, counter, start, seconds{2}, rate{60});
    const time_point cold_at = start + seconds{2};
    it.set_cold_until(time_point::max(), cold_at);
    CHECK(it.wait(0, cold_at) >= milliseconds{900});
    start_counter after;
    press(it, after, cold_at, seconds{4});
    CHECK(after.count() >= 10);
    CHECK(after.most_in_a_second() <= start_counter::allowed(cold_rate));
}

// Guards against an owner that was restarted starting what its predecessor has already started.
TEST_CASE("a new owner process starts no run at a cold server for the length of the window", "[warm-up]") {
    run_pacer it;
    it.set_warm_up_rate(cold_rate, start);
    it.set_cold_until(time_point::max(), start);
    CHECK(it.wait(0, start) == warm_up_pacer::window);
    start_counter counter;
    press(it, counter, start, warm_up_pacer::window);
    CHECK(counter.count() == 0);
    press(it, counter, start + warm_up_pacer::window, seconds{1});
    CHECK(counter.count() >= 5);
    // A warm server is not held.
    run_pacer warm;
    warm.set_warm_up_rate(cold_rate, start);
    CHECK(warm.wait(0, start) == duration::zero());
}

// Guards against one limit hiding the other.
TEST_CASE("the lower of the server's own limit and the warm-up rate applies", "[warm-up]") {
    run_pacer it = make_pacer();
    it.set_limit(rate{2}, start);
    it.set_cold_until(start + seconds{3}, start);
    CHECK(it.rate_in_force(start) == rate{2});
    CHECK(it.wait(0, start) == milliseconds{500});
    it.set_limit(rate{50}, start);
    CHECK(it.rate_in_force(start) == cold_rate);
    CHECK(it.limit() == rate{50});
    CHECK(it.wait(20, start) > seconds{2});
    CHECK(it.rate_in_force(start + seconds{3}) == rate{50});
    it.set_limit(std::nullopt, start);
    CHECK(it.rate_in_force(start) == cold_rate);
}

// Guards against rates so low or so high that times or counts overflow.
TEST_CASE("extreme rates are kept", "[warm-up]") {
    for (const double per_second : {1e-9, 0.1, 1.0, 100.0, 1e6}) {
        run_pacer it = make_pacer(rate{per_second});
        it.set_cold_until(time_point::max(), start);
        start_counter counter;
        press(it, counter, start, seconds{2});
        CHECK(counter.count() > warm_up_pacer::burst);
        CHECK(counter.most_in_a_second() <= start_counter::allowed(rate{per_second}));
        CHECK(it.wait(1000, start + seconds{2}) <= run_pacer::max_wait);
    }
}

// Guards against any order of cold and warm times, bursts, pauses, limits and restarts that exceeds the
// bound.
TEST_CASE("no schedule exceeds the bound in any second that ends with a run at a cold server", "[warm-up]") {
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        random_source random{seed};
        const rate limit{0.2 + 20 * random.unit()};
        run_pacer it = make_pacer(limit);
        start_counter counter;
        time_point now = start;
        const time_point end = start + seconds{30};
        while (now < end) {
            now += from_seconds(random.unit() < 0.1 ? random.unit() : 0.01 * random.unit());
            const double kind = random.unit();
            if (kind < 0.01) {
                it.set_cold_until(now + from_seconds(4 * random.unit()), now);
            } else if (kind < 0.015) {
                it.set_cold_until(time_point::min(), now);
            } else if (kind < 0.02) {
                it.set_limit(random.unit() < 0.5 ? std::nullopt : std::optional{rate{30 * random.unit()}},
                             now);
            } else if (kind < 0.022) {
                // Another process takes over; it knows nothing of the runs so far.
                it = run_pacer{};
                it.set_warm_up_rate(limit, now);
                it.set_cold_until(time_point::max(), now);
            }
            if (it.wait(0, now) > duration::zero()) {
                continue;
            }
            it.on_start(now);
            counter.add(now);
            if (it.is_cold(now)) {
                INFO("seed " << seed);
                REQUIRE(counter.in_last_second(now) <= start_counter::allowed(limit));
            }
        }
    }
}

} // namespace cornelpier
