#include "cornelpier/admission/warm_up_pacer.hpp"

#include "tests/warm_up/cold_owner.hpp"

#include <catch2/catch.hpp>

namespace cornelpier::owner_test {

namespace {

const std::size_t allowed = start_counter::allowed(cold_owner::cold_rate);

} // namespace

// Guards against a restarted owner that sends full traffic before it knows its server.
TEST_CASE("a restarted owner asks for the report at once and starts no run before it", "[warm-up][owner]") {
    cold_owner it;
    CHECK(it.take_actions<read_server_report>().size() == 1);
    CHECK_FALSE(it.submit(it.lookup(1)));
    SECTION("the server is warm") {
        it.report(duration::zero());
        CHECK(it.take_actions<start_run>().size() == 1);
    }
    SECTION("the report does not mention a warm-up") {
        it.report(std::nullopt);
        CHECK(it.take_actions<start_run>().size() == 1);
    }
    SECTION("the server is cold and may have got runs from the predecessor") {
        it.report(seconds{2});
        it.advance(milliseconds{1090});
        CHECK(it.take_actions<start_run>().empty());
        it.advance(milliseconds{20});
        CHECK(it.take_actions<start_run>().size() == 1);
    }
}

// Guards against a node that serves nothing because a server gives no reports.
TEST_CASE("without a report an owner paces the runs after a bounded wait", "[warm-up][owner]") {
    cold_owner it;
    it.is_reporting = false;
    it.press(rate{40}, seconds{1});
    CHECK(it.starts.count() == 0);
    it.press(rate{40}, seconds{9});
    CHECK(it.starts.count() >= 40);
    CHECK(it.starts.most_in_a_second() <= allowed);
}

// Guards against the bound being exceeded where an owner process ends and the next begins.
TEST_CASE("an owner that is restarted while its server is cold keeps to the bound", "[warm-up][owner]") {
    cold_owner first;
    first.become_warm();
    first.cold_until = first.timers.now() + seconds{60};
    first.report(seconds{60});
    first.press(rate{40}, seconds{3});
    CHECK(first.starts.count() >= 15);

    cold_owner second;
    const time_point restarted_at = second.timers.now();
    second.cold_until = restarted_at + seconds{60};
    second.press(rate{40}, seconds{4});
    CHECK(second.starts.count() >= 15);
    first.starts.add_all(second.starts, restarted_at, first.timers.now());
    CHECK(first.starts.most_in_a_second() <= allowed);
}

// Guards against a server that turns cold without a restart going unnoticed.
TEST_CASE("a server that turns cold without notice gets at most the bound in any second",
          "[warm-up][owner]") {
    cold_owner it;
    it.become_warm();
    it.press(rate{60}, seconds{3});
    CHECK(it.starts.most_in_a_second() >= 55);
    CHECK(it.events(event_number::server_warm_up).empty());

    it.starts = {};
    it.cold_until = it.timers.now() + seconds{3};
    it.press(rate{60}, milliseconds{2900});
    CHECK(it.starts.most_in_a_second() <= allowed);
    CHECK(it.starts.count() >= 8);
    const auto events = it.events(event_number::server_warm_up);
    REQUIRE(events.size() == 1);
    CHECK(events[0].starts_with("state=began cause=reported remaining_ms=29"));
    CHECK(events[0].ends_with("rate=5.3"));

    // The limit ends with the warm-up.
    it.press(rate{60}, milliseconds{200});
    it.starts = {};
    it.press(rate{60}, seconds{1});
    CHECK(it.starts.count() >= 59);
    CHECK(it.events(event_number::server_warm_up) ==
          std::vector<std::string>{"state=ended cause=reported remaining_ms=0 rate=none"});
}

// Guards against full traffic to the process that replaces the server.
TEST_CASE("after the end of the server runs are paced until a report of the next process",
          "[warm-up][owner]") {
    cold_owner it;
    it.become_warm();
    const auto lost = it.submit(it.lookup(1));
    REQUIRE(lost);
    const server_failure kind = GENERATE(server_failure::connect_failed, server_failure::connection_lost);
    it.actions.clear();
    it.owner.on_server_failed({*lost, kind});
    CHECK(it.take_actions<read_server_report>().size() == 1);
    it.owner.on_server_report_failed();
    CHECK(it.events(event_number::server_warm_up) ==
          std::vector<std::string>{"state=began cause=server_ended remaining_ms=unknown rate=5.3"});

    it.is_reporting = false;
    it.press(rate{60}, seconds{4});
    CHECK(it.starts.count() >= 20);
    CHECK(it.starts.most_in_a_second() <= allowed);
    it.report(duration::zero(), "i-2");
    it.is_reporting = true;
    it.starts = {};
    it.press(rate{60}, seconds{1});
    CHECK(it.starts.count() >= 59);
}

// Guards against a new process being taken for the warm one that it replaces.
TEST_CASE("a new instance in the plan counts as cold until its report", "[warm-up][owner]") {
    cold_owner it;
    it.service.targets[0].instance = "i-1";
    it.publish();
    it.become_warm();
    it.service.targets[0].instance = "i-2";
    it.publish();
    CHECK(it.take_actions<read_server_report>().size() == 1);
    traffic_snapshot snapshot;
    it.owner.fill_snapshot(snapshot);
    CHECK(snapshot.server_rate_limit == cold_owner::cold_rate);
    CHECK(snapshot.warm_up_remaining == seconds{3});

    it.report(duration::zero(), "i-2");
    it.publish();
    it.owner.fill_snapshot(snapshot);
    CHECK_FALSE(snapshot.server_rate_limit);
    CHECK(snapshot.warm_up_remaining == duration::zero());
}

// Guards against a directory that lags: the process that it names late has reported already.
TEST_CASE("an instance that the server has reported is not new when the plan names it", "[warm-up][owner]") {
    cold_owner it;
    it.service.targets[0].instance = "i-1";
    it.publish();
    it.become_warm();
    it.report(duration::zero(), "i-2");
    it.service.targets[0].instance = "i-2";
    it.service.targets[0].warm_up_remaining = seconds{3};
    it.publish();
    CHECK(it.submit(it.lookup(1)));
}

// Guards against a run that a process refuses with 421 being followed by full traffic to that process.
TEST_CASE("a misdirected run shows that the process has been replaced", "[warm-up][owner]") {
    cold_owner it;
    it.become_warm();
    const auto run = it.submit(it.lookup(1));
    REQUIRE(run);
    it.actions.clear();
    it.respond(*run, 421);
    CHECK(it.events(event_number::server_warm_up) ==
          std::vector<std::string>{"state=began cause=new_process remaining_ms=unknown rate=5.3"});
}

// Guards against a limit that outlives the configuration that asked for it.
TEST_CASE("a plan without a warm-up rate ends the limit at once", "[warm-up][owner]") {
    cold_owner it;
    it.become_warm();
    it.cold_until = it.timers.now() + seconds{60};
    it.report(seconds{60});
    it.press(rate{60}, seconds{2});
    it.service.warm_up.reset();
    it.publish();
    it.starts = {};
    it.press(rate{60}, seconds{1});
    CHECK(it.starts.count() >= 59);
}

// Guards against changes for services that have no warm-up rate.
TEST_CASE("without a warm-up rate a cold server is served like any other", "[warm-up][owner]") {
    cold_owner it{std::nullopt};
    CHECK(it.submit(it.lookup(1)));
    it.report(seconds{3});
    it.cold_until = it.timers.now() + seconds{60};
    it.press(rate{60}, seconds{1});
    CHECK(it.starts.count() >= 59);
    CHECK(it.events(event_number::server_warm_up).empty());
}

// Guards against a rate that an entry remembers from the warm-up limiting a server that is warm.
TEST_CASE("a remembered warm-up rate is not taken for the server's own limit", "[warm-up][owner]") {
    cold_owner it;
    run_request message = it.lookup(1);
    message.rate_limit = cold_owner::cold_rate;
    CHECK_FALSE(it.submit(message));
    it.report(duration::zero());
    CHECK(it.take_actions<start_run>().size() == 1);

    cold_owner limited;
    message.rate_limit = rate{0.5};
    CHECK_FALSE(limited.submit(message));
    limited.report(duration::zero());
    CHECK(limited.take_actions<start_run>().empty());
}

// Guards against callers that wait for a cold server in vain, and against urgent ones that wait behind
// others.
TEST_CASE("a burst at a cold server serves the urgent class first and refuses the rest at once",
          "[warm-up][owner]") {
    cold_owner it;
    it.become_warm();
    it.report(seconds{3});
    it.actions.clear();
    // Uses up the burst.
    for (std::uint64_t n = 1; n <= warm_up_pacer::burst + 1; ++n) {
        const auto run = it.submit(it.order(n));
        REQUIRE(run);
        it.respond(*run);
    }
    it.take_sent<run_response>();

    const auto send = [&](std::uint64_t sequence, request_class priority) {
        run_request message =
            priority == request_class::order ? it.order(sequence) : it.lookup(sequence, priority);
        message.remaining = milliseconds{600};
        it.receive(message);
    };
    for (std::uint64_t n = 0; n < 6; ++n) {
        send(100 + n, request_class::patient_lookup);
        send(200 + n, request_class::urgent_lookup);
    }
    for (std::uint64_t n = 0; n < 3; ++n) {
        send(300 + n, request_class::order);
    }
    // Nine or more callers are refused before any time passes, since three runs may start in 600 ms.
    const auto refused = it.take_sent<run_response>();
    CHECK(refused.size() >= 12);
    for (const auto& reply : refused) {
        CHECK(reply.outcome == verdict::not_run);
        CHECK(reply.reason == refusal::rate_limited);
        CHECK(reply.retry_after > milliseconds{100});
        CHECK(reply.attempt.request.sequence < 300);
        REQUIRE(reply.load);
        CHECK(reply.load->rate_limit == cold_owner::cold_rate);
    }
    CHECK(it.count(metric::run_refused_cold) == refused.size());

    std::size_t orders = 0;
    for (int n = 0; n < 60; ++n) {
        it.advance(milliseconds{10});
        for (const auto& started : it.take_actions<start_run>()) {
            orders += started.request.method == "POST" ? 1 : 0;
            it.respond(started.run);
        }
    }
    CHECK(orders == 3);
}

// Guards against a malformed time ending a warm-up silently.
TEST_CASE("a malformed remaining time is logged and changes nothing", "[warm-up][owner]") {
    cold_owner it;
    it.become_warm();
    it.report(seconds{3});
    it.actions.clear();
    server_report event;
    event.warm_up_malformed = true;
    it.owner.on_server_report(event);
    CHECK(it.events(event_number::warm_up_value_refused) == std::vector<std::string>{"source=report"});
    traffic_snapshot snapshot;
    it.owner.fill_snapshot(snapshot);
    CHECK(snapshot.warm_up_remaining == seconds{3});
}

} // namespace cornelpier::owner_test
