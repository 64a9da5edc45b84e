#include "cornelpier/admission/load_meter.hpp"

#include <catch2/catch.hpp>

namespace cornelpier {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

void answer_runs(load_meter& meter, int count, duration took, bool error = false) {
    for (int n = 0; n < count; ++n) {
        meter.on_answered(took, error, meter.limit(), time_point{});
    }
}

} // namespace

TEST_CASE("the limit shrinks during a slow phase and recovers afterwards", "[admission]") {
    load_meter meter;
    meter.configure(10, seconds{2});
    CHECK(meter.limit() == 10);
    answer_runs(meter, 100, milliseconds{10});
    CHECK(meter.limit() == 10);
    answer_runs(meter, 50, milliseconds{200});
    CHECK(meter.limit() <= 3);
    answer_runs(meter, 150, milliseconds{10});
    CHECK(meter.limit() == 10);
}

TEST_CASE("errors faster than usual do not lower the service time", "[admission]") {
    load_meter meter;
    meter.configure(10, seconds{2});
    answer_runs(meter, 100, milliseconds{50});
    answer_runs(meter, 100, milliseconds{1}, true);
    CHECK(meter.current_service_time({}) == milliseconds{50});
    answer_runs(meter, 100, milliseconds{500}, true);
    CHECK(meter.current_service_time({}) > milliseconds{400});
}

TEST_CASE("abandoned runs raise the service time", "[admission]") {
    load_meter meter;
    meter.configure(4, seconds{2});
    meter.on_incomplete(seconds{2}, 1);
    CHECK(meter.current_service_time({}) == seconds{2});
}

TEST_CASE("the expected wait counts the work beyond the limit", "[admission]") {
    load_meter meter;
    meter.configure(4, seconds{2});
    const duration age = milliseconds{100};
    CHECK(meter.expected_wait({3, age}, 0) == duration::zero());
    CHECK(meter.expected_wait({4, age}, 0) == milliseconds{25});
    CHECK(meter.expected_wait({4, age}, 7) == milliseconds{200});
}

} // namespace cornelpier
