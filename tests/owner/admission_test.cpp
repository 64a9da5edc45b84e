#include "tests/owner/owner_fixture.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

namespace cornelpier::owner_test {

namespace {

/// Submits lookups one after the other and completes each after the given time.
void complete_lookups(owner_fixture& it, int count, duration each, std::uint64_t first, int status = 200) {
    for (int n = 0; n < count; ++n) {
        const auto id = it.submit(it.lookup(first + static_cast<std::uint64_t>(n)));
        it.advance(each);
        it.respond(*id, status);
    }
    it.actions.clear();
}

void fill_slots(owner_fixture& it, std::uint64_t first) {
    for (std::uint64_t n = 0; n < it.service.slots; ++n) {
        REQUIRE(it.submit(it.lookup(first + n)));
    }
}

} // namespace

TEST_CASE("a slowdown shows in the load reading before a run completes", "[owner][admission]") {
    owner_fixture it;
    it.publish();
    complete_lookups(it, 20, milliseconds{10}, 1);
    fill_slots(it, 100);
    it.advance(milliseconds{400});
    const auto load = it.reply_to<load_reading>(hello{});
    CHECK(load.service_time == milliseconds{400});
    CHECK(load.expected_wait == milliseconds{200});
    CHECK(load.in_flight == 2);
}

TEST_CASE("a conditional run is refused when the expected wait exceeds its limit", "[owner][admission]") {
    owner_fixture it;
    it.publish();
    fill_slots(it, 100);
    it.advance(milliseconds{400});
    run_request message = it.lookup(1);
    message.wait_limit = milliseconds{199};
    CHECK(it.reply_to<run_response>(message).reason == refusal::wait_limit);
    message.wait_limit = milliseconds{200};
    CHECK_FALSE(it.submit(message));
    CHECK(it.take_sent<run_response>().empty());
}

TEST_CASE("a run that cannot meet its deadline is refused at once", "[owner][admission]") {
    owner_fixture it;
    it.publish();
    fill_slots(it, 100);
    it.advance(milliseconds{400});
    run_request message = it.lookup(1);
    message.remaining = milliseconds{599};
    const auto refused = it.reply_to<run_response>(message);
    CHECK(refused.reason == refusal::deadline);
    CHECK(refused.retry_after > duration::zero());
    message.remaining = milliseconds{600};
    CHECK_FALSE(it.submit(message));
    CHECK(it.take_sent<run_response>().empty());
}

TEST_CASE("queued runs start in order of class, then of arrival", "[owner][admission]") {
    owner_fixture it;
    it.service.slots = 1;
    it.publish();
    const auto id = it.submit(it.lookup(1));
    it.submit(it.lookup(2, request_class::patient_lookup));
    it.submit(it.lookup(3));
    it.submit(it.order(4));
    it.submit(it.order(5));

    std::vector<std::uint64_t> order;
    it.respond(*id);
    for (auto started = it.take_actions<start_run>(); !started.empty();
         started = it.take_actions<start_run>()) {
        it.respond(started.at(0).run);
        order.push_back(it.take_sent<run_response>().back().attempt.request.sequence);
    }
    CHECK(order == std::vector<std::uint64_t>{4, 5, 3, 2});
}

TEST_CASE("a full queue sheds the lowest class first and spreads the retry times", "[owner][admission]") {
    owner_fixture it;
    it.service.slots = 1;
    it.publish();
    it.submit(it.lookup(1));
    for (std::uint64_t n = 2; n <= 11; ++n) {
        it.submit(it.lookup(n, request_class::patient_lookup));
    }
    CHECK(it.reply_to<run_response>(it.lookup(12, request_class::patient_lookup)).reason ==
          refusal::overloaded);

    std::set<duration> retry_times;
    for (std::uint64_t n = 13; n <= 22; ++n) {
        const auto shed = it.reply_to<run_response>(it.order(n));
        CHECK(shed.attempt.request.sequence == 24 - n);
        CHECK(shed.reason == refusal::overloaded);
        retry_times.insert(shed.retry_after);
    }
    CHECK(retry_times.size() == 10);
    CHECK(it.reply_to<run_response>(it.order(23)).reason == refusal::overloaded);
}

TEST_CASE("after a pause queued runs past their deadline are refused and never start", "[owner][pause]") {
    owner_fixture it;
    it.service.slots = 1;
    it.publish();
    const auto id = it.submit(it.order(1));
    it.submit(it.order(2));
    it.timers.set_now(it.timers.now() + seconds{3});

    SECTION("the pause is detected first") {
        it.owner.on_pause();
    }
    SECTION("the server's answer comes first") {
        it.respond(*id);
    }
    SECTION("the timer of the run fires first") {
        it.advance(duration::zero());
    }

    const auto answers = it.take_sent<run_response>();
    CHECK(answers.back().attempt == it.attempt(2));
    CHECK(answers.back().outcome == verdict::not_run);
    CHECK(answers.back().reason == refusal::deadline);
    CHECK(it.take_actions<start_run>().empty());
}

// Under overload the server would otherwise spend its time on runs that are then cancelled at their deadline.
TEST_CASE("a queued run that would miss its deadline is refused instead of started", "[owner][admission]") {
    owner_fixture it;
    it.publish();
    complete_lookups(it, 20, milliseconds{100}, 1);
    const auto first = it.submit(it.lookup(100));
    it.submit(it.lookup(101));
    run_request message = it.lookup(102);
    message.remaining = milliseconds{250};
    REQUIRE_FALSE(it.submit(message));
    it.take_sent<run_response>();

    SECTION("too little time is left") {
        it.advance(milliseconds{160});
        it.respond(*first);
        const auto answers = it.take_sent<run_response>();
        REQUIRE(answers.size() == 2);
        const auto refused = std::ranges::find(answers, it.attempt(102), &run_response::attempt);
        CHECK(refused->reason == refusal::deadline);
        CHECK(it.take_actions<start_run>().empty());
    }
    SECTION("enough time is left") {
        it.advance(milliseconds{100});
        it.respond(*first);
        CHECK(it.take_actions<start_run>().size() == 1);
    }
}

TEST_CASE("a server that fails fast reports a long wait and is tried again later", "[owner][admission]") {
    owner_fixture it;
    it.publish();
    complete_lookups(it, 20, milliseconds{50}, 1);

    SECTION("it is down") {
        it.owner.on_server_failed({*it.submit(it.lookup(99)), server_failure::connect_failed});
    }
    SECTION("it answers with errors") {
        complete_lookups(it, 20, milliseconds{1}, 100, 500);
    }

    const auto failing = it.reply_to<load_reading>(hello{});
    CHECK(failing.expected_wait > milliseconds{500});
    CHECK(failing.service_time == milliseconds{50});
    it.advance(seconds{5});
    CHECK(it.reply_to<load_reading>(hello{}).expected_wait < milliseconds{10});
}

TEST_CASE("slow start restarts after the server was down", "[owner][admission]") {
    owner_fixture it;
    it.publish();
    it.advance(seconds{60});
    it.owner.on_server_failed({*it.submit(it.lookup(1)), server_failure::connect_failed});
    CHECK(it.reply_to<load_reading>(hello{}).uptime == duration::zero());
    it.advance(seconds{60});
    it.respond(*it.submit(it.lookup(2)));
    it.advance(seconds{1});
    CHECK(it.reply_to<load_reading>(hello{}).uptime == seconds{1});
}

TEST_CASE("a service time estimate above every deadline does not block the server for good",
          "[owner][admission]") {
    owner_fixture it;
    it.publish();
    for (std::uint64_t n = 1; n <= 40; ++n) {
        REQUIRE(it.submit(it.lookup(n)));
        it.advance(seconds{2});
    }
    complete_lookups(it, 60, milliseconds{10}, 100);
    fill_slots(it, 1000);
}

TEST_CASE("probes and reports stay within the measuring budget in every second", "[owner][measuring]") {
    owner_fixture it;
    it.publish();
    std::vector<time_point> taken;
    int reports = 0;
    for (int n = 0; n < 10'000; ++n) {
        it.advance(milliseconds{1});
        it.receive(probe{});
        const auto reads = it.take_actions<read_server_report>().size();
        reports += static_cast<int>(reads);
        taken.insert(taken.end(), reads + it.take_sent<load_reading>().size(), it.timers.now());
        it.take_actions<record_metric>();
    }
    CHECK(taken.front() > time_point{seconds{1001}});
    for (std::size_t n = 10; n < taken.size(); ++n) {
        REQUIRE(taken[n] - taken[n - 10] > seconds{1});
    }
    CHECK(taken.size() > 80);
    CHECK(reports >= 16);
    CHECK(reports <= 20);
    CHECK(it.take_actions<record_event>().size() <= 12);
}

TEST_CASE("with a budget below one per second due reports take precedence over probes",
          "[owner][measuring]") {
    owner_fixture it;
    it.service.measuring = rate{0.5};
    it.publish();
    std::size_t reports = 0;
    std::size_t probes = 0;
    for (int n = 0; n < 4000; ++n) {
        it.advance(milliseconds{10});
        it.receive(probe{});
        reports += it.take_actions<read_server_report>().size();
        probes += it.take_sent<load_reading>().size();
    }
    CHECK(reports >= 8);
    CHECK(probes >= 8);
    CHECK(reports + probes <= 20);
}

} // namespace cornelpier::owner_test
