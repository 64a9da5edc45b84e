#include "tests/owner/owner_fixture.hpp"

#include <catch2/catch.hpp>

namespace cornelpier::owner_test {

namespace {

/// An owner whose server tells its speed with every answer.
class routed_fixture : public owner_fixture {
  public:
    routed_fixture() {
        service.measuring = rate{40};
        service.deadline = seconds{60};
        service.targets[0].slots = 4;
        publish();
        advance(seconds{2});
        tell_speed(1);
        actions.clear();
    }

    void tell_speed(double slowness) {
        server_report report;
        report.load = server_load_report{0, 0, 4, slowness};
        owner.on_server_report(report);
    }

    [[nodiscard]] run routed(std::uint64_t sequence, duration objective = milliseconds{500},
                             duration left = seconds{2}) const {
        run message = lookup(sequence);
        message.route = "status";
        message.objective = objective;
        message.remaining = left;
        message.request.fields = {{"host", "a.example"}};
        return message;
    }

    /// Completes a run that took a time, with the server's speed.
    void finish(run_id id, double slowness = 1) {
        server_answered event{id, {200, {}, make_body("ok")}};
        event.load = server_load_report{0, 0, 4, slowness};
        owner.on_server_answered(event);
    }

    /// Teaches the owner how long the route's work takes.
    void learn(duration work) {
        for (std::uint64_t n = 0; n < 30; ++n) {
            tell_speed(1);
            const auto id = submit(routed(1000 + n));
            REQUIRE(id);
            advance(work);
            finish(*id);
        }
        actions.clear();
    }
};

} // namespace

TEST_CASE("a run waits for a fresh figure of the server's speed", "[owner][speed]") {
    routed_fixture it;
    it.advance(milliseconds{100});
    CHECK_FALSE(it.submit(it.routed(1)));
    CHECK(it.take<read_server_report>().size() == 1);
    it.tell_speed(1);
    CHECK(it.take<start_run>().size() == 1);

    // Without an answer the run is decided on with what is known.
    it.advance(milliseconds{100});
    CHECK_FALSE(it.submit(it.routed(2)));
    it.advance(milliseconds{15});
    CHECK(it.take<start_run>().size() == 1);
}

TEST_CASE("a run that waits for the figure can be cancelled", "[owner][speed]") {
    routed_fixture it;
    it.advance(milliseconds{100});
    CHECK_FALSE(it.submit(it.routed(1)));
    it.receive(cancel{owner_fixture::attempt(1)});
    const auto replies = it.sent<answer>();
    REQUIRE(replies.size() == 1);
    CHECK(replies[0].outcome == verdict::not_run);
    it.tell_speed(1);
    CHECK(it.take<start_run>().empty());
}

TEST_CASE("during a slow spell a conditional run is refused and another one is held", "[owner][speed]") {
    routed_fixture it;
    it.learn(milliseconds{160});
    it.tell_speed(7);
    run conditional = it.routed(1);
    conditional.wait_limit = milliseconds{100};
    const auto refused = it.ask<answer>(conditional);
    CHECK(refused.reason == refusal::wait_limit);
    REQUIRE(refused.load);
    CHECK(refused.load->slowness_percent == 700);

    CHECK_FALSE(it.submit(it.routed(2)));
    CHECK(it.sent<answer>().empty());
    // The owner asks the server again and again, since nothing else tells of the end of the spell.
    it.advance(milliseconds{25});
    CHECK_FALSE(it.take<read_server_report>().empty());
    it.tell_speed(1);
    CHECK(it.take<start_run>().size() == 1);
}

TEST_CASE("what would be late is refused at once when others wait", "[owner][speed]") {
    routed_fixture it;
    it.learn(milliseconds{200});
    for (std::uint64_t n = 1; n <= 4; ++n) {
        it.tell_speed(1);
        REQUIRE(it.submit(it.routed(n)));
    }
    // Four slots are taken for 200 ms; two more rounds of runs fit before the half of the deadline.
    std::size_t queued = 0;
    std::optional<answer> refused;
    for (std::uint64_t n = 5; n < 40 && !refused; ++n) {
        it.tell_speed(1);
        it.receive(it.routed(n));
        const auto replies = it.sent<answer>();
        if (replies.empty()) {
            ++queued;
        } else {
            refused = replies.front();
        }
    }
    REQUIRE(refused);
    CHECK(refused->reason == refusal::deadline);
    CHECK(refused->outcome == verdict::not_run);
    CHECK(refused->retry_after > milliseconds{500});
    CHECK(queued == 16);
}

TEST_CASE("a queued run is refused as soon as too little time is left", "[owner][speed]") {
    routed_fixture it;
    it.learn(milliseconds{200});
    for (std::uint64_t n = 1; n <= 4; ++n) {
        it.tell_speed(1);
        REQUIRE(it.submit(it.routed(n, milliseconds{500}, seconds{5})));
    }
    it.receive(it.routed(5, milliseconds{500}, milliseconds{900}));
    CHECK(it.sent<answer>().empty());
    it.advance(milliseconds{699});
    CHECK(it.sent<answer>().empty());
    it.advance(milliseconds{2});
    const auto replies = it.sent<answer>();
    REQUIRE(replies.size() == 1);
    CHECK(replies[0].reason == refusal::deadline);
    CHECK(replies[0].outcome == verdict::not_run);
}

TEST_CASE("a server's statement that it did not run a request is a proof", "[owner][speed]") {
    routed_fixture it;
    const auto id = it.submit(it.routed(1));
    REQUIRE(id);
    server_answered event{*id, {503, {}, make_body()}};
    event.refused = true;
    it.owner.on_server_answered(event);
    const auto replies = it.sent<answer>();
    REQUIRE(replies.size() == 1);
    CHECK(replies[0].outcome == verdict::not_run);
    CHECK(replies[0].reason == refusal::server_refused);
}

TEST_CASE("the server process that an entry means is passed on", "[owner]") {
    routed_fixture it;
    run message = it.routed(1);
    message.instance = "i-7";
    it.receive(message);
    const auto started = it.take<start_run>();
    REQUIRE(started.size() == 1);
    CHECK(started[0].instance == "i-7");
}

TEST_CASE("a run that means a former process goes to the one that the server reports", "[owner]") {
    routed_fixture it;
    const auto report = [&it](const std::string& instance) {
        server_report message;
        message.load = server_load_report{0, 0, 4, 1};
        message.instance = instance;
        it.owner.on_server_report(message);
    };
    report("i-8");
    run message = it.routed(1);
    message.instance = "i-7";
    it.receive(message);
    const auto started = it.take<start_run>();
    REQUIRE(started.size() == 1);
    CHECK(started[0].instance == "i-8");

    // A refusal for the wrong process shows that the report is out of date.
    server_answered event{started[0].run, {421, {}, make_body()}};
    event.refused = true;
    it.owner.on_server_answered(event);
    CHECK(it.sent<answer>().at(0).outcome == verdict::not_run);
    message = it.routed(2);
    message.instance = "i-9";
    it.receive(message);
    CHECK(it.take<start_run>().at(0).instance == "i-9");
}

// The load after a loss: callers who came back late fill the queue while others arrive that can be in time.
TEST_CASE("a run in time finds a slot although late runs wait", "[owner][speed]") {
    routed_fixture it;
    it.learn(milliseconds{200});
    std::vector<run_id> running;
    for (std::uint64_t n = 1; n <= 4; ++n) {
        running.push_back(*it.submit(it.routed(n)));
    }
    for (std::uint64_t n = 5; n <= 8; ++n) {
        CHECK_FALSE(it.submit(it.routed(n, milliseconds{-100}, seconds{4})));
    }
    it.advance(milliseconds{200});
    it.finish(running[0]);
    CHECK(it.take<start_run>().empty());
    CHECK(it.submit(it.routed(9)));

    // With two slots free, one is for the late.
    it.advance(milliseconds{1});
    it.finish(running[1]);
    it.finish(running[2]);
    const auto started = it.take<start_run>();
    REQUIRE(started.size() == 1);
}

// Seen on a day on which addresses were given to servers of another service.
TEST_CASE("an owner takes no run for the service that had its address before", "[owner]") {
    routed_fixture it;
    it.service.id = service_id{"atelier"};
    it.publish();
    run message = it.routed(1);
    message.service = service_id{"atelier"};
    const auto refused = it.ask<answer>(message);
    CHECK(refused.outcome == verdict::not_run);
    CHECK(refused.reason == refusal::unknown_service);
    CHECK(it.take<start_run>().empty());
}

TEST_CASE("after a start runs wait for the server's first report", "[owner][speed]") {
    owner_fixture it;
    it.service.measuring = rate{40};
    it.publish();
    run message = it.lookup(1);
    message.route = "status";
    message.objective = milliseconds{500};
    message.instance = "i-7";
    CHECK_FALSE(it.submit(message));
    server_report report;
    report.load = server_load_report{0, 0, 2, 1};
    report.instance = "i-8";
    it.owner.on_server_report(report);
    const auto started = it.take<start_run>();
    REQUIRE(started.size() == 1);
    CHECK(started[0].instance == "i-8");
}

} // namespace cornelpier::owner_test
