#include "cornelpier/timer/timer_service.hpp"

#include <catch2/catch.hpp>

#include <string>

namespace cornelpier {

TEST_CASE("callbacks run in order of due time, then of addition", "[timer]") {
    timer_service timers{time_point{}};
    std::string order;
    timers.call_after(duration{20}, [&] { order += 'c'; });
    timers.call_after(duration{10}, [&] { order += 'a'; });
    timers.call_after(duration{10}, [&] { order += 'b'; });

    timers.advance(time_point{duration{30}});
    CHECK(order == "abc");
    CHECK_FALSE(timers.next_due());
}

TEST_CASE("a periodic timer skips the periods missed by a late advance", "[timer]") {
    timer_service timers{time_point{}};
    int calls = 0;
    timers.call_every(duration{10}, [&] { ++calls; });

    timers.advance(time_point{duration{1005}});
    CHECK(calls == 1);
    CHECK(timers.next_due() == time_point{duration{1010}});
}

TEST_CASE("the callback of a periodic timer may cancel it", "[timer]") {
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
