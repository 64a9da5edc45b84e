#include "platform/watch_timing.hpp"

#include <catch2/catch.hpp>

namespace cornelpier::platform {

using std::chrono::milliseconds;

TEST_CASE("a change takes effect in time although the reader fails right after it", "[platform]") {
    for (const int limit : {1300, 2000, 2500, 5000}) {
        const auto timing = watch_timing_for(milliseconds{limit});
        CHECK(timing.silence_timeout + milliseconds{700} <= milliseconds{limit});
        CHECK(timing.pause + milliseconds{200} + timing.catch_up_wait <= timing.silence_timeout);
        CHECK(timing.pause + timing.max_wait < timing.silence_timeout);
        CHECK(timing.pause > duration::zero());
        CHECK(timing.max_wait > duration::zero());
        CHECK(timing.pause <= milliseconds{500});
    }
}

TEST_CASE("the response of a watch renews a state before other nodes read", "[platform]") {
    const auto timing = watch_timing_for(milliseconds{2500});
    CHECK(timing.wait_at(timing.pause) == timing.max_wait);
    CHECK(timing.wait_at(duration::zero()) == timing.max_wait);
    CHECK(timing.wait_at(timing.silence_timeout) == duration::zero());
    for (duration age{}; age <= timing.pause + timing.max_wait; age += milliseconds{100}) {
        CHECK(age + timing.wait_at(age) < timing.silence_timeout);
    }
}

TEST_CASE("a limit that is too short for any read still leaves a pause between calls", "[platform]") {
    const auto timing = watch_timing_for(milliseconds{100});
    CHECK(timing.pause >= milliseconds{100});
    CHECK(timing.max_wait > duration::zero());
}

} // namespace cornelpier::platform
