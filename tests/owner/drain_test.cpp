#include "tests/owner/owner_fixture.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <iterator>

namespace cornelpier::owner_test {

TEST_CASE("a drain refuses new runs, is announced on every link and finishes old runs", "[owner][drain]") {
    owner_fixture it;
    it.service.slots = 1;
    it.publish();
    it.owner.on_message(it.second_link, ping{});
    const auto id = it.submit(it.order(1));
    it.submit(it.order(2));
    it.actions.clear();

    it.owner.on_terminate();
    const auto announced = it.take<send_message>();
    REQUIRE(announced.size() == 2);
    CHECK(announced.at(0).link == it.link);
    CHECK(announced.at(1).link == it.second_link);
    CHECK(std::get<load_reading>(announced.at(1).message).state == node_state::draining);
    CHECK(it.ask<run_response>(it.order(3)).reason == refusal::draining);

    it.advance(seconds{1});
    it.serve(*id);
    const auto queued = it.take<start_run>();
    REQUIRE(queued.size() == 1);
    CHECK(it.owner.state() == node_state::draining);
    it.serve(queued.at(0).run);
    CHECK(it.owner.state() == node_state::stopped);
}

TEST_CASE("a drain waits for runs that entries sent before they heard of it", "[owner][drain]") {
    owner_fixture it;
    it.publish();
    it.receive(ping{});
    it.owner.on_terminate();
    CHECK(it.owner.state() == node_state::draining);
    CHECK(it.ask<run_response>(it.order(1)).outcome == verdict::not_run);

    SECTION("for half a second") {
        it.advance(milliseconds{500});
    }
    SECTION("until no link is left") {
        it.owner.on_link_closed(it.link);
    }
    CHECK(it.owner.state() == node_state::stopped);
}

// Seen on two days: a run that had waited in the queue was handed over 12 ms after the bound on leaving
// servers, another one by the very view that said that its server had left.
TEST_CASE("queued runs go back when their server leaves", "[owner][drain]") {
    owner_fixture it;
    it.service.slots = 1;
    it.publish();
    const auto id = it.submit(it.order(1));
    it.submit(it.order(2));
    it.actions.clear();

    SECTION("as the directory says") {
        it.publish(vm_state::leaving);
    }
    SECTION("without a word but the end of its entry") {
        it.service.targets.clear();
        it.publish(vm_state::unlisted);
    }
    SECTION("and a slot is free by then") {
        it.service.slots = 2;
        it.publish(vm_state::leaving);
    }
    CHECK(it.take<start_run>().empty());
    std::vector<run_response> refused;
    std::ranges::copy_if(it.sent<run_response>(), std::back_inserter(refused),
                         [](const run_response& reply) { return reply.outcome == verdict::not_run; });
    REQUIRE(refused.size() == 1);
    CHECK(refused[0].reason == refusal::draining);
    CHECK(refused[0].attempt == owner_fixture::attempt(2));

    // The run at the server ends as usual.
    it.serve(*id);
    CHECK(it.sent<run_response>().at(0).outcome == verdict::ran);
    CHECK(it.take<start_run>().empty());
}

TEST_CASE("a termination ends after the drain limit even if a run does not", "[owner][drain]") {
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

TEST_CASE("a drain is called off when its last cause is gone", "[owner][drain]") {
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
    const auto announced = it.sent<load_reading>();
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
