#include "tests/entry/entry_fixture.hpp"

#include <catch2/catch.hpp>

namespace cornelpier::test {

TEST_CASE("a call is run by a target and its answer reaches the caller", "[entry]") {
    entry_fixture it;
    const call_id call = it.call("GET");
    const auto opened = it.take<open_link>();
    REQUIRE(opened.size() == 1);
    CHECK(opened[0].link == link_id{1});
    CHECK(opened[0].address.starts_with("127.0.0.1:710"));

    it.peers[opened[0].link] = opened[0].peer;
    it.entry.on_link_opened(opened[0].link);
    const auto* first = std::get_if<send_message>(&it.actions.at(0));
    REQUIRE(first != nullptr);
    CHECK(std::holds_alternative<hello>(first->message));

    const auto runs = it.sent<run_request>();
    REQUIRE(runs.size() == 1);
    CHECK(runs[0].second.depth == 1);
    CHECK(runs[0].second.remaining < std::chrono::seconds{2});
    it.answer_run(runs[0], verdict::ran, refusal::none, 200);

    const auto answers = it.take<answer_caller>();
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].call == call);
    CHECK(answers[0].outcome == verdict::ran);
    CHECK(answers[0].response.status == 200);
    CHECK(*answers[0].response.body == "body");
    CHECK(answers[0].token == opened[0].peer.value() + ".77.e1.1.1");
    CHECK(it.entry.calls_in_progress() == 0);
}

TEST_CASE("calls that cannot be sent to any target are answered at once with not-run", "[entry]") {
    entry_fixture it;

    SECTION("unknown service") {
        it.current_plan->services[0].id = service_id{"other"};
        it.call("GET");
        CHECK(it.take<answer_caller>().at(0).response.status == 404);
    }
    SECTION("nested too deep") {
        it.call("GET", {}, 9);
        const auto answers = it.take<answer_caller>();
        CHECK(answers.at(0).response.status == 508);
        CHECK(answers.at(0).outcome == verdict::not_run);
    }
    SECTION("no plan") {
        timer_service timers{time_point{}};
        entry_manager entry{it.identity, timers, random_source{1}};
        entry.set_output(it.actions);
        entry.on_call({call_id{1}, service_id{"shop"}, {}, {}, {}, 0, false});
        const auto answers = it.take<answer_caller>();
        CHECK(answers.at(0).response.status == 503);
        CHECK(answers.at(0).outcome == verdict::not_run);
        CHECK(answers.at(0).retry_after > duration::zero());
    }
    CHECK(it.entry.calls_in_progress() == 0);
}

TEST_CASE("an entry does not use a leaving server again because its owner has restarted",
          "[entry][leaving]") {
    test::entry_fixture it;
    it.call("GET");
    it.open_links();
    const auto [link, run] = it.sent<run_request>().at(0);
    const target_id leaving = it.peers[link];
    load_reading reading = it.load_of(leaving);
    reading.advice_known = true;
    reading.server_leaving = true;
    it.entry.on_message(link, reading);

    // The new process of the owner serves and knows nothing of its server yet.
    constexpr std::uint64_t restarted_process = 0x99;
    it.entry.on_message(link, it.load_of(leaving, restarted_process));
    for (int n = 0; n < 10; ++n) {
        it.call("GET");
        it.open_links();
        for (const auto& [used, message] : it.sent<run_request>()) {
            CHECK(it.peers[used] != leaving);
        }
    }
}

} // namespace cornelpier::test
