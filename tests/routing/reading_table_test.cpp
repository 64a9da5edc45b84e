#include "cornelpier/routing/load_estimate.hpp"
#include "cornelpier/routing/reading_table.hpp"
#include "cornelpier/routing/round_trip_table.hpp"

#include <catch2/catch.hpp>

#include <array>
#include <chrono>

namespace cornelpier {

namespace {

using std::chrono::milliseconds;

const target_id a{"a"};
const time_point start{std::chrono::seconds{10}};

load_reading make_reading(std::uint64_t sequence, duration wait = {}, std::uint64_t process = 1) {
    load_reading result;
    result.target = a;
    result.limit = 4;
    result.in_flight = 2;
    result.service_time = milliseconds{10};
    result.expected_wait = wait;
    result.permit.owner = incarnation{process};
    result.sequence = sequence;
    return result;
}

} // namespace

// Answers can arrive out of order; an outdated reading would hide a queue that has formed since.
TEST_CASE("a reading never replaces a newer one of the same process", "[routing]") {
    reading_table table;
    CHECK(table.accept(make_reading(5), start));
    CHECK_FALSE(table.accept(make_reading(4), start));
    CHECK(table.accept(make_reading(1, {}, 2), start));
    CHECK(table.find(a)->permit->owner == incarnation{2});
}

TEST_CASE("a permit is used only while its owner may still accept it", "[routing]") {
    reading_table table;
    table.accept(make_reading(1), start);
    CHECK(table.usable_permit(a, start + std::chrono::seconds{4}));
    CHECK_FALSE(table.usable_permit(a, start + std::chrono::seconds{5}));
    table.drop_readings();
    CHECK_FALSE(table.usable_permit(a, start));
}

// Without the correction, an entry sends all runs to one target until the next reading.
TEST_CASE("own runs since the reading add to the wait", "[routing]") {
    reading_table table;
    table.accept(make_reading(1), start);
    const auto wait = [&] { return estimate_load(table.find(a), {}, milliseconds{1}, start).wait; };
    const duration idle = wait();
    for (int i = 0; i < 4; ++i) {
        table.run_sent(a, start);
    }
    CHECK(wait() >= idle + milliseconds{5});

    for (int i = 0; i < 4; ++i) {
        table.run_ended(a, start);
    }
    CHECK(wait() == idle);

    // A run that the reading already includes is not counted twice.
    table.run_sent(a, start - milliseconds{5});
    CHECK(wait() == idle);
}

TEST_CASE("an old reading counts less than the average", "[routing]") {
    reading_table table;
    table.accept(make_reading(1, milliseconds{100}), start);
    const load_estimate average{milliseconds{10}, milliseconds{10}};
    const auto wait_after = [&](duration age) {
        return estimate_load(table.find(a), average, milliseconds{1}, start + age).wait;
    };
    CHECK(wait_after({}) >= milliseconds{100});
    CHECK(wait_after(milliseconds{100}) < milliseconds{60});
    CHECK(wait_after(std::chrono::seconds{10}) < milliseconds{12});
    CHECK(wait_after(std::chrono::seconds{10}) >= milliseconds{10});
}

TEST_CASE("round trips fall back to the data centre and ignore queueing", "[routing]") {
    const data_centre_id here{"here"};
    const data_centre_id there{"there"};
    round_trip_table table{here};
    CHECK(table.round_trip(a, here) < table.round_trip(a, there));

    table.observe(target_id{"b"}, there, milliseconds{3});
    CHECK(table.round_trip(a, there) == milliseconds{3});
    table.observe(a, there, milliseconds{4});
    table.observe_upper_bound(a, there, milliseconds{90});
    CHECK(table.round_trip(a, there) == milliseconds{4});
    table.observe_upper_bound(a, there, milliseconds{2});
    CHECK(table.round_trip(a, there) < milliseconds{4});
}

} // namespace cornelpier
