#include "tests/owner/owner_fixture.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <iterator>

namespace cornelpier::owner_test {

TEST_CASE("a drain refuses new runs, is announced on every link and completes accepted runs",
          "[owner][drain]") {
    owner_fixture it;
    it.service.slots = 1;
    it.publish();
    it.owner.on_message(it.second_link, ping{});
    const auto id = it.submit(it.order(1));
    it.submit(it.order(2));
    it.actions.clear();

    it.owner.on_terminate();
    const auto announced = it.take_actions<send_message>();
    REQUIRE(announced.size() == 2);
    CHECK(announced.at(0).link == it.link);
    CHECK(announced.at(1).link == it.second_link);
    CHECK(std::get<load_reading>(announced.at(1).message).state == node_state::draining);
    CHECK(it.reply_to<run_response>(it.order(3)).reason == refusal::draining);

    it.advance(seconds{1});
    it.respond(*id);
    const auto queued = it.take_actions<start_run>();
    REQUIRE(queued.size() == 1);
    CHECK(it.owner.state() == node_state::draining);
    it.respond(queued.at(0).run);
    CHECK(it.owner.state() == node_state::stopped);
}

TEST_CASE("a drain waits for runs that entries sent before they learned of it", "[owner][drain]") {
    owner_fixture it;
    it.publish();
    it.receive(ping{});
    it.owner.on_terminate();
    CHECK(it.owner.state() == node_state::draining);
    CHECK(it.reply_to<run_response>(it.order(1)).outcome == verdict::not_run);

    SECTION("for half a second") {
        it.advance(milliseconds{500});
    }
    SECTION("until no link is left") {
        it.owner.on_link_closed(it.link);
    }
    CHECK(it.owner.state() == node_state::stopped);
}

// Guards against two failures that were seen on recorded days: a queued run was dispatched 12 ms after the
// time limit for runs to a leaving server, and another one on the very view update that reported its server
// as gone.
TEST_CASE("queued runs are refused when their server leaves", "[owner][drain]") {
    owner_fixture it;
    it.service.slots = 1;
    it.publish();
    const auto id = it.submit(it.order(1));
    it.submit(it.order(2));
    it.actions.clear();

    SECTION("the directory lists it as leaving") {
        it.publish(vm_state::leaving);
    }
    SECTION("its entry disappears without notice") {
        it.service.targets.clear();
        it.publish(vm_state::unlisted);
    }
    SECTION("its report says so in a header field") {
        server_report report;
        report.advice.leaving = true;
        it.owner.on_server_report(report);
        CHECK(it.owner.state() == node_state::draining);
    }
    SECTION("a slot becomes free with the same view") {
        it.service.slots = 2;
        it.publish(vm_state::leaving);
    }
    CHECK(it.take_actions<start_run>().empty());
    std::vector<run_response> refused;
    std::ranges::copy_if(it.take_sent<run_response>(), std::back_inserter(refused),
                         [](const run_response& reply) { return reply.outcome == verdict::not_run; });
    REQUIRE(refused.size() == 1);
    CHECK(refused[0].reason == refusal::draining);
    CHECK(refused[0].attempt == owner_fixture::attempt(2));

    // The run at the server completes as usual.
    it.respond(*id);
    CHECK(it.take_sent<run_response>().at(0).outcome == verdict::ran);
    CHECK(it.take_actions<start_run>().empty());
}

TEST_CASE("a server whose answers say that it leaves gets no more runs from its owner", "[owner][leaving]") {
    owner_fixture it;
    it.publish();
    const auto id = it.submit(it.lookup(1));
    server_answered answer{*id, {200, {}, make_body("ok")}};
    answer.advice.leaving = true;
    it.owner.on_server_answered(answer);
    CHECK_FALSE(it.submit(it.lookup(2)));
    // A report without the field says nothing if the reports of this server do not carry it.
    it.owner.on_server_report({});
    CHECK_FALSE(it.submit(it.lookup(3)));
}

TEST_CASE("a termination completes after the drain timeout even if a run does not", "[owner][drain]") {
    owner_fixture it;
    it.service.deadline = seconds{40};
    it.publish();
    run_request message = it.order(1);
    message.remaining = seconds{40};
    it.submit(message);
    it.owner.on_terminate();
    it.advance(seconds{40} - duration{1});
    CHECK(it.owner.state() == node_state::draining);
    it.advance(duration{1});
    CHECK(it.owner.state() == node_state::stopped);
}

TEST_CASE("a drain is cancelled when its last cause is removed", "[owner][drain]") {
    owner_fixture it;
    it.publish();
    it.receive(ping{});
    it.advance(seconds{10});
    it.owner.on_server_report_failed();
    CHECK(it.owner.state() == node_state::serving);
    it.owner.on_server_report({true, true, 0});
    it.publish(vm_state::leaving);
    it.publish(vm_state::unlisted);
    it.owner.on_server_report_failed();
    it.owner.on_server_report({true, false, 0});
    CHECK(it.owner.state() == node_state::draining);
    it.actions.clear();

    it.publish(vm_state::live);
    CHECK(it.owner.state() == node_state::serving);
    const auto announced = it.take_sent<load_reading>();
    REQUIRE(announced.size() == 1);
    CHECK(announced.at(0).state == node_state::serving);
    CHECK(announced.at(0).uptime == duration::zero());

    it.owner.on_terminate();
    it.publish(vm_state::live);
    CHECK(it.owner.state() == node_state::draining);
}

TEST_CASE("a leaving VM never serves", "[owner][drain]") {
    owner_fixture it;
    it.publish(vm_state::leaving);
    CHECK(it.owner.state() == node_state::draining);
}

} // namespace cornelpier::owner_test
