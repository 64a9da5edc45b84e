#include "cornelpier/timer/timer_service.hpp"

#include <catch2/catch.hpp>

#include <string>

namespace cornelpier {

TEST_CASE("callbacks run in the order of time, then of subscription", "[timer]") {
    timer_service timers{time_point{}};
    std::string order;
    timers.call_after(duration{20}, [&] { order += 'c'; });
    timers.call_after(duration{10}, [&] { order += 'a'; });
    timers.call_after(duration{10}, [&] { order += 'b'; });

    timers.advance(time_point{duration{30}});
    CHECK(order == "abc");
    CHECK_FALSE(timers.next_due());
}

TEST_CASE("a periodic callback skips the periods that a late advance missed", "[timer]") {
    timer_service timers{time_point{}};
    int calls = 0;
    timers.call_every(duration{10}, [&] { ++calls; });

    timers.advance(time_point{duration{1005}});
    CHECK(calls == 1);
    CHECK(timers.next_due() == time_point{duration{1010}});
}

TEST_CASE("a periodic callback may cancel itself", "[timer]") {
    timer_service timers{time_point{}};
    int calls = 0;
    timer_service::timer_id id = 0;
    id = timers.call_every(duration{10}, [&] {
        ++calls;
        timers.cancel(id);
    });

    timers.advance(time_point{duration{10}});
    timers.advance(time_point{duration{50}});
    CHECK(calls == 1);
}

} // namespace cornelpier
