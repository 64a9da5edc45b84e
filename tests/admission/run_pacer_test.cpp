#include "cornelpier/admission/class_rate_meter.hpp"
#include "cornelpier/admission/run_pacer.hpp"

#include <catch2/catch.hpp>

namespace cornelpier {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr time_point start{seconds{100}};

/// @return runs that start in a period if one is always waiting.
int count_starts(run_pacer& pacer, time_point from, duration length) {
    int count = 0;
    for (time_point at = from; at < from + length; at += milliseconds{10}) {
        while (pacer.wait(0, at) == duration::zero() && count < 1'000'000) {
            pacer.on_start(at);
            ++count;
        }
    }
    return count;
}

} // namespace

TEST_CASE("runs are paced only while the server names a rate limit", "[admission][pace]") {
    run_pacer pacer;
    CHECK(pacer.wait(100, start) == duration::zero());
    pacer.set_limit(rate{5}, start);
    const int started = count_starts(pacer, start, seconds{10});
    CHECK(started <= 50);
    CHECK(started >= 47);
    CHECK(pacer.wait(4, start + seconds{10}) >= milliseconds{800});

    pacer.reset();
    CHECK(pacer.wait(100, start + seconds{10}) == duration::zero());
}

TEST_CASE("an idle period allows a burst of one second at most", "[admission][pace]") {
    run_pacer pacer;
    pacer.set_limit(rate{5}, start);
    CHECK(count_starts(pacer, start + seconds{60}, seconds{4}) <= 5 * 4 + 5 + 1);
}

TEST_CASE("a new limit starts without credit and a changed one keeps the credit used", "[admission][pace]") {
    run_pacer pacer;
    pacer.set_limit(rate{2}, start);
    CHECK(pacer.wait(0, start) == milliseconds{500});
    // Naming the same limit in every response must not delay the next run.
    pacer.set_limit(rate{2}, start + milliseconds{400});
    CHECK(pacer.wait(0, start + milliseconds{400}) == milliseconds{100});
    pacer.set_limit(rate{10}, start + milliseconds{400});
    CHECK(pacer.wait(0, start + milliseconds{400}) <= milliseconds{100});
}

TEST_CASE("a withdrawn limit is lifted gradually", "[admission][pace]") {
    run_pacer pacer;
    pacer.set_limit(rate{2}, start);
    count_starts(pacer, start, seconds{4});
    const time_point withdrawn_at = start + seconds{4};
    pacer.set_limit(std::nullopt, withdrawn_at);
    CHECK_FALSE(pacer.limit());
    const int first = count_starts(pacer, withdrawn_at, seconds{1});
    const int second = count_starts(pacer, withdrawn_at + seconds{1}, seconds{1});
    CHECK(first <= 8);
    CHECK(second > 2 * first);
    CHECK(pacer.wait(100, withdrawn_at + seconds{3}) == duration::zero());
}

TEST_CASE("a server that accepts no requests gets none, or trial runs if nothing else can tell its recovery",
          "[admission][pace]") {
    run_pacer pacer;
    pacer.set_limit(rate{0}, start);
    CHECK(count_starts(pacer, start, seconds{60}) == 0);
    CHECK(pacer.wait(0, start + seconds{60}) > duration::zero());
    pacer.set_limit(std::nullopt, start + seconds{60});
    CHECK(pacer.wait(0, start + seconds{61}) == duration::zero());

    run_pacer blind;
    blind.set_trial_interval(seconds{10});
    blind.set_limit(rate{0}, start);
    const int trials = count_starts(blind, start, seconds{60});
    CHECK(trials >= 5);
    CHECK(trials <= 6);
}

TEST_CASE("the rate of more urgent classes leaves out the class itself", "[admission][pace]") {
    class_rate_meter meter;
    for (int n = 0; n < 100; ++n) {
        meter.on_accepted(request_class::order, start + n * milliseconds{100});
        meter.on_accepted(request_class::urgent_lookup, start + n * milliseconds{100});
    }
    const time_point now = start + seconds{10};
    CHECK(meter.more_urgent(request_class::order, now).per_second == 0);
    CHECK(meter.more_urgent(request_class::urgent_lookup, now).per_second == Approx(10).margin(1.5));
    CHECK(meter.more_urgent(request_class::patient_lookup, now).per_second == Approx(20).margin(3));
    CHECK(meter.more_urgent(request_class::patient_lookup, now + seconds{20}).per_second < 0.01);
}

} // namespace cornelpier
