#include "cornelpier/routing/load_estimate.hpp"

#include <catch2/catch.hpp>

#include <array>

namespace cornelpier {

using std::chrono::milliseconds;

namespace {

target_load idle_target(duration service_time) {
    load_reading last;
    last.limit = 10;
    last.service_time = service_time;
    target_load result;
    result.last = last;
    return result;
}

duration estimated_service(duration own, duration usual) {
    const auto load = idle_target(own);
    return estimate_load(&load, {duration::zero(), usual}, milliseconds{1}, time_point{}).service;
}

} // namespace

// With a mean, one slow target would make the others look faster than usual.
TEST_CASE("the usual service time of a subset is its median", "[routing]") {
    const auto fast = idle_target(milliseconds{20});
    const auto slow = idle_target(milliseconds{100});
    const std::array<const target_load*, 4> loads{&slow, &fast, nullptr, &fast};
    CHECK(average_load(loads).service == milliseconds{20});
}

// Averages of few runs vary; entries must not follow that variance.
TEST_CASE("small differences in service time are ignored", "[routing]") {
    CHECK(estimated_service(milliseconds{45}, milliseconds{20}) == milliseconds{20});
    CHECK(estimated_service(milliseconds{9}, milliseconds{20}) == milliseconds{20});
}

// A persistently slow server must get fewer runs, without long queues at all others.
TEST_CASE("a large difference in service time counts half", "[routing]") {
    CHECK(estimated_service(milliseconds{100}, milliseconds{20}) == milliseconds{60});
    CHECK(estimated_service(milliseconds{4}, milliseconds{20}) == milliseconds{12});
}

// The wait for a rate limit passes with time; blended with the average, it would seem to end within 100 ms.
TEST_CASE("the wait at a server that limits its rate is not blended with that of the others", "[routing]") {
    auto limited = idle_target(milliseconds{20});
    limited.last->rate_limit = rate{2};
    limited.last->expected_wait = milliseconds{900};
    const auto wait_after = [&](duration age) {
        return estimate_load(&limited, {}, duration::zero(), time_point{} + age).wait;
    };
    CHECK(wait_after(milliseconds{100}) == milliseconds{800});
    CHECK(wait_after(milliseconds{2000}) == duration::zero());

    const auto idle = idle_target(milliseconds{20});
    const std::array<const target_load*, 2> loads{&limited, &idle};
    CHECK(average_load(loads).wait == duration::zero());

    limited.own_runs = {time_point{milliseconds{1}}, time_point{milliseconds{2}}};
    CHECK(wait_after(milliseconds{100}) >= milliseconds{1800});
}

} // namespace cornelpier
