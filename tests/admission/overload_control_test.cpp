#include "cornelpier/admission/contention_meter.hpp"
#include "cornelpier/admission/on_time_reserve.hpp"
#include "cornelpier/admission/queueing_limit.hpp"
#include "cornelpier/admission/route_work_table.hpp"
#include "cornelpier/admission/slot_wait.hpp"
#include "cornelpier/admission/slowness_meter.hpp"

#include <catch2/catch.hpp>

namespace cornelpier {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("work is tracked by route, without the slowness of the server", "[admission][speed]") {
    route_work_table table;
    CHECK(table.expected_work("long", milliseconds{1000}) == milliseconds{350});
    for (int n = 0; n < 100; ++n) {
        table.add("long", milliseconds{640}, 1);
        table.add("short", milliseconds{280}, 7);
    }
    CHECK(table.expected_work("long", {}) == milliseconds{640});
    CHECK(std::chrono::round<milliseconds>(table.expected_work("short", {})) == milliseconds{40});
    table.add("short", seconds{60}, 1);
    CHECK(table.expected_work("short", {}) < milliseconds{60});
}

TEST_CASE("a long run waits for the end of a slowdown and a short one starts", "[admission][speed]") {
    slowness_meter meter;
    const time_point start{seconds{100}};
    CHECK_FALSE(meter.is_known());
    meter.on_report(7, start);
    CHECK(meter.should_defer(milliseconds{160}, start));
    CHECK(meter.expected_delay(milliseconds{160}, start) == milliseconds{300});
    CHECK_FALSE(meter.should_defer(milliseconds{40}, start));
    CHECK(meter.expected_delay(milliseconds{40}, start) == milliseconds{240});

    meter.on_report(1, start + milliseconds{500});
    CHECK_FALSE(meter.should_defer(milliseconds{160}, start + milliseconds{500}));
    CHECK(meter.expected_delay(milliseconds{160}, start + milliseconds{500}) == duration::zero());
}

// After a power loss of all machines, long runs were held for 0.8 to 1.4 s at servers that were still warming
// up.
TEST_CASE("runs wait for the end of a transient slowdown, not for the warm-up of a new server",
          "[admission][speed]") {
    slowness_meter meter;
    const time_point start{seconds{100}};
    meter.on_new_server(start);
    meter.on_report(2, start);
    CHECK_FALSE(meter.should_defer(milliseconds{640}, start));
    meter.on_report(14, start + milliseconds{700});
    CHECK(meter.should_defer(milliseconds{160}, start + milliseconds{700}));
    meter.on_report(2, start + milliseconds{900});
    CHECK_FALSE(meter.should_defer(milliseconds{640}, start + milliseconds{900}));
    meter.on_report(1, start + seconds{3});
    meter.on_report(2, start + seconds{4});
    CHECK(meter.should_defer(milliseconds{640}, start + seconds{4}));
}

TEST_CASE("a transient slowdown of a new server does not count as sustained", "[admission][speed]") {
    slowness_meter meter;
    const time_point start{seconds{100}};
    meter.on_new_server(start);
    meter.on_report(14, start);
    CHECK(meter.should_defer(milliseconds{160}, start));
}

TEST_CASE("runs are not delayed for a slowdown that does not end", "[admission][speed]") {
    slowness_meter meter;
    const time_point start{seconds{100}};
    meter.on_report(5, start);
    CHECK(meter.should_defer(milliseconds{160}, start + milliseconds{500}));
    CHECK_FALSE(meter.should_defer(milliseconds{160}, start + seconds{2}));
}

TEST_CASE("a report is fresh for 20 ms", "[admission][speed]") {
    slowness_meter meter;
    const time_point start{seconds{100}};
    CHECK_FALSE(meter.is_fresh(start));
    meter.on_report(1, start);
    CHECK(meter.is_fresh(start + milliseconds{20}));
    CHECK_FALSE(meter.is_fresh(start + milliseconds{21}));
}

TEST_CASE("the wait for a slot follows from the ends of the runs in progress", "[admission][speed]") {
    const milliseconds mean{100};
    CHECK(expected_slot_wait({}, 2, 0, mean) == duration::zero());
    CHECK(expected_slot_wait({milliseconds{50}}, 2, 0, mean) == duration::zero());
    CHECK(expected_slot_wait({milliseconds{50}, milliseconds{80}}, 2, 0, mean) == milliseconds{50});
    CHECK(expected_slot_wait({milliseconds{50}, milliseconds{80}}, 2, 1, mean) == milliseconds{80});
    CHECK(expected_slot_wait({milliseconds{50}, milliseconds{80}}, 2, 2, mean) == milliseconds{150});
    // With one run more than the limit allows, the first end frees no slot.
    CHECK(expected_slot_wait({milliseconds{10}, milliseconds{50}, milliseconds{80}}, 2, 0, mean) ==
          milliseconds{50});
}

TEST_CASE("a server that slows down when nearly full gets fewer runs", "[admission][speed]") {
    contention_meter meter;
    const milliseconds usual{100};
    CHECK(meter.best_limit(12) == 12);
    for (int n = 0; n < 20; ++n) {
        meter.add(4, 12, usual, usual);
        meter.add(9, 12, usual, usual);
        meter.add(11, 12, milliseconds{170}, usual);
        meter.add(12, 12, milliseconds{170}, usual);
    }
    CHECK(meter.best_limit(12) == 10);
    CHECK(meter.slowdown(12, 12) > 1.6);

    contention_meter even;
    for (int n = 0; n < 20; ++n) {
        even.add(4, 12, usual, usual);
        even.add(12, 12, milliseconds{110}, usual);
    }
    CHECK(even.best_limit(12) == 12);
}

TEST_CASE("a new process leaves some slots free until it knows whether its server slows down near capacity",
          "[admission][speed]") {
    constexpr std::uint32_t slots = 9;
    contention_meter meter;
    CHECK(meter.best_limit(slots, seconds{1}) == 7);
    CHECK(meter.best_limit(slots, seconds{10}) == 9);
    // A fifth of four slots is less than one slot.
    CHECK(meter.best_limit(4, seconds{1}) == 4);

    const milliseconds usual{100};
    for (int n = 0; n < 10; ++n) {
        meter.add(9, slots, usual, usual);
    }
    CHECK(meter.best_limit(slots, seconds{1}) == 9);
}

TEST_CASE("late runs leave slots to on-time runs while there are any", "[admission][speed]") {
    const time_point start{seconds{100}};
    on_time_reserve reserve;
    CHECK(reserve.admits_late(6, 7, start));
    reserve.on_timely_start(start);
    CHECK(reserve.admits_late(5, 7, start));
    CHECK_FALSE(reserve.admits_late(6, 7, start + seconds{1}));
    CHECK(reserve.admits_late(6, 7, start + milliseconds{1001}));
    reserve.on_timely_start(start);
    CHECK_FALSE(reserve.admits_late(14, 16, start));
    CHECK(reserve.admits_late(13, 16, start));
    CHECK(reserve.admits_late(1, 2, start));
}

TEST_CASE("a run is queued if its answer is on time or its deadline is far enough away",
          "[admission][speed]") {
    // Objective 600 ms, deadline 1500 ms, work 220 ms.
    CHECK(max_queueing_time({milliseconds{220}, milliseconds{600}, milliseconds{1500}}) == milliseconds{530});
    CHECK(max_queueing_time({milliseconds{220}, milliseconds{600}, milliseconds{700}}) == milliseconds{380});
    CHECK(max_queueing_time({milliseconds{220}, milliseconds{-50}, milliseconds{400}}) == duration::zero());
    CHECK(cannot_meet_deadline({milliseconds{220}, {}, milliseconds{100}}));
    CHECK_FALSE(cannot_meet_deadline({milliseconds{220}, {}, milliseconds{120}}));
}

} // namespace cornelpier
