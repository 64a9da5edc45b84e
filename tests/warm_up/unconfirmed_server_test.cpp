#include "tests/warm_up/cold_owner.hpp"

#include <catch2/catch.hpp>

#include <memory>

namespace cornelpier::owner_test {

namespace {

const std::size_t allowed = start_counter::allowed(cold_owner::cold_rate);

} // namespace

// Guards against queued runs, which pass no gate, starting at full speed while no run arrives.
TEST_CASE("the report stays fresh while only queued runs start", "[warm-up][owner]") {
    cold_owner it;
    it.become_warm();
    for (std::uint64_t n = 1; n <= 40; ++n) {
        it.receive(it.lookup(n));
    }
    it.answer_reports();
    auto running = it.take_actions<start_run>();
    CHECK(running.size() == cold_owner::slots);
    it.cold_until = it.timers.now() + seconds{3};
    std::size_t started = 0;
    for (int n = 0; n < 40 && !running.empty(); ++n) {
        it.advance(milliseconds{10});
        it.respond(running.back().run);
        running.pop_back();
        it.answer_reports();
        for (auto& next : it.take_actions<start_run>()) {
            ++started;
            running.push_back(next);
        }
    }
    CHECK(started <= allowed);
}

// Guards against queued runs being paced at a warm server because nothing reads its report.
TEST_CASE("queued runs of a warm server start as slots become free", "[warm-up][owner]") {
    cold_owner it;
    it.become_warm();
    for (std::uint64_t n = 1; n <= 40; ++n) {
        it.receive(it.lookup(n));
        it.answer_reports();
    }
    std::size_t finished = 0;
    for (int n = 0; n < 20; ++n) {
        it.advance(milliseconds{20});
        finished += it.finish_runs();
        it.answer_reports();
    }
    CHECK(finished == 40);
}

// Guards against queued runs that wait for a server that has turned cold until their time is over.
TEST_CASE("queued runs that a cold server cannot serve in time are refused as it turns cold",
          "[warm-up][owner]") {
    cold_owner it;
    it.become_warm();
    for (std::uint64_t n = 1; n <= 30; ++n) {
        it.receive(it.lookup(n));
        it.answer_reports();
    }
    it.take_sent<run_response>();
    it.report(seconds{3});
    const auto refused = it.take_sent<run_response>();
    CHECK(refused.size() >= 5);
    for (const auto& reply : refused) {
        CHECK(reply.reason == refusal::rate_limited);
        CHECK(reply.retry_after > duration::zero());
    }
}

// Guards against a limit that lasts longer than the warm-up while no run arrives.
TEST_CASE("the report is read when the time that it stated is over", "[warm-up][owner]") {
    cold_owner it;
    it.become_warm();
    it.cold_until = it.timers.now() + milliseconds{1300};
    it.report(milliseconds{1300});
    for (std::uint64_t n = 1; n <= 12; ++n) {
        it.receive(it.lookup(n));
    }
    std::size_t paced = it.finish_runs();
    for (int n = 0; n < 129; ++n) {
        it.advance(milliseconds{10});
        paced += it.finish_runs();
    }
    CHECK(paced == 11);
    for (std::uint64_t n = 101; n <= 104; ++n) {
        it.receive(it.lookup(n));
    }
    it.take_actions<read_server_report>();
    it.advance(milliseconds{10});
    CHECK(it.take_actions<start_run>().empty());
    CHECK(it.take_actions<read_server_report>().size() == 1);
    it.report(duration::zero());
    CHECK(it.take_actions<start_run>().size() == 5);
}

// Guards against a server with many slots that gets a burst before the owner knows that it is cold.
TEST_CASE("a burst after a pause of the callers is preceded by a report", "[warm-up][owner]") {
    cold_owner it;
    it.service.slots = 100;
    it.publish();
    it.become_warm();
    it.advance(milliseconds{400});
    it.answer_reports();
    it.cold_until = it.timers.now() + seconds{3};
    for (std::uint64_t n = 1; n <= 60; ++n) {
        it.receive(it.lookup(n));
    }
    it.answer_reports();
    it.advance(milliseconds{900});
    CHECK(it.take_actions<start_run>().size() <= allowed);
}

// Guards against a server being taken for warm for ever because its report cannot be read any more.
TEST_CASE("a warm server whose report is missing is paced until it can be read", "[warm-up][owner]") {
    cold_owner it;
    it.become_warm();
    it.is_reporting = false;
    it.press(rate{60}, seconds{3});
    CHECK(it.starts.count() >= 15);
    CHECK(it.starts.most_in_a_second() <= allowed);
    it.owner.on_server_report_failed();
    CHECK(it.events(event_number::server_warm_up) ==
          std::vector<std::string>{"state=began cause=unconfirmed remaining_ms=unknown rate=5.3"});

    it.is_reporting = true;
    it.press(rate{60}, milliseconds{100});
    it.starts = {};
    it.press(rate{60}, seconds{1});
    CHECK(it.starts.count() >= 59);
}

// Guards against any order of traffic, cold times, restarts and lost reports that exceeds the bound.
TEST_CASE("no schedule of an owner exceeds the bound in any second of a cold time", "[warm-up][owner]") {
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        INFO("seed " << seed);
        random_source random{seed};
        auto it = std::make_unique<cold_owner>();
        start_counter cold_starts;
        for (int step = 0; step < 60; ++step) {
            const double kind = random.unit();
            if (kind < 0.2 && it->timers.now() >= it->cold_until) {
                // Each cold time is checked by itself.
                cold_starts = {};
                it->is_reporting = true;
                it->cold_until = it->timers.now() + from_seconds(0.2 + 4 * random.unit());
            } else if (kind < 0.3) {
                const duration left = it->cold_until - it->timers.now();
                const start_counter before = cold_starts;
                const time_point ended_at = it->timers.now();
                it = std::make_unique<cold_owner>();
                it->cold_until = it->timers.now() + left;
                cold_starts = {};
                cold_starts.add_all(before, ended_at, it->timers.now());
            } else if (kind < 0.4) {
                // The process ends and the next one gives no reports for a while.
                if (const auto run = it->submit(it->lookup(1'000'000 + static_cast<std::uint64_t>(step)))) {
                    it->owner.on_server_failed({*run, server_failure::connection_lost});
                    cold_starts = {};
                    it->cold_until = it->timers.now() + seconds{3};
                    it->is_reporting = false;
                }
            } else if (kind < 0.5) {
                it->is_reporting = true;
            }
            it->starts = {};
            const duration length = from_seconds(0.4 * random.unit());
            it->press(rate{1 + 80 * random.unit()}, length);
            cold_starts.add_until(it->starts, it->cold_until);
            REQUIRE(cold_starts.most_in_a_second() <= allowed);
        }
    }
}

} // namespace cornelpier::owner_test
