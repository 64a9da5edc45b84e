#include "cornelpier/base/event_limiter.hpp"

#include <catch2/catch.hpp>

namespace cornelpier {

TEST_CASE("an event is logged once per 10 s, and at once if its fields differ", "[events]") {
    event_limiter limiter;
    const event_record first{event_number::plan_refused_older, {{"version", "1"}}};
    const event_record other{event_number::plan_refused_older, {{"version", "2"}}};
    const time_point start{std::chrono::seconds{5}};

    CHECK(limiter.allow(first, start));
    CHECK(limiter.allow(other, start));
    CHECK_FALSE(limiter.allow(first, start + std::chrono::milliseconds{9999}));
    CHECK(limiter.allow(first, start + std::chrono::seconds{10}));
    CHECK_FALSE(limiter.allow(first, start + std::chrono::seconds{11}));
}

} // namespace cornelpier
