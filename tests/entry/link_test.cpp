#include "tests/entry/entry_fixture.hpp"

#include <catch2/catch.hpp>

namespace cornelpier::test {

// A connection can stay silent forever while new connections to the same peer work.
TEST_CASE("a silent link is pinged, then replaced", "[entry][link]") {
    entry_fixture it{1};
    const auto first = it.send_order();
    it.advance(milliseconds{249});
    CHECK(it.sent<ping>().empty());
    it.advance(milliseconds{1});
    CHECK(it.sent<ping>().size() == 1);
    it.advance(milliseconds{249});
    CHECK(it.take<open_link>().empty());
    it.advance(milliseconds{1});

    it.open_links();
    const auto asked = it.sent<fate_query>().at(0);
    CHECK(asked.second.attempt == first.second.attempt);
    it.send_fate(asked.first, asked.second.attempt, fate_outcome::ran);
    // Closing a link makes the peer cancel its runs, so the old link stays open until the fate was queried.
    CHECK(it.take<close_link>().empty());
    it.advance(milliseconds{999});
    CHECK(it.take<close_link>().empty());
    it.advance(milliseconds{1});
    CHECK(it.take<close_link>().at(0).link == first.first);
}

TEST_CASE("a late answer on a link that went silent is accepted", "[entry][link][field-reports]") {
    entry_fixture it{1};
    const auto first = it.send_order();
    it.advance(milliseconds{500});
    it.open_links();
    it.answer_run(first, verdict::ran, refusal::none, 201);
    const auto answers = it.take<answer_caller>();
    REQUIRE(answers.size() == 1);
    CHECK(answers.at(0).outcome == verdict::ran);
    CHECK(answers.at(0).response.status == 201);
}

// A server may work on a request for longer than the silence timeout.
TEST_CASE("a link that answers pings is kept while an answer is slow", "[entry][link]") {
    entry_fixture it{1};
    const auto first = it.send_order();
    for (int i = 0; i < 5; ++i) {
        it.advance(milliseconds{250});
        REQUIRE(it.sent<ping>().size() == 1);
        it.entry.on_message(first.first, pong{});
    }
    CHECK(it.take<close_link>().empty());
    it.answer_run(first, verdict::ran, refusal::none, 201);
    CHECK(it.take<answer_caller>().size() == 1);
}

TEST_CASE("a link is not pinged while nothing is outstanding", "[entry][link]") {
    entry_fixture it{1};
    const auto first = it.send_order();
    it.answer_run(first, verdict::ran, refusal::none, 201);
    it.advance(std::chrono::seconds{5});
    CHECK(it.sent<ping>().empty());

    // The idle time before the next request must not count as silence.
    it.call("POST");
    CHECK(it.sent<run_request>().empty()); // The permit is too old.
    it.advance(milliseconds{100});
    CHECK(it.sent<ping>().empty());
}

TEST_CASE("an idle link is closed after a minute and reopened on use", "[entry][link]") {
    entry_fixture it{1};
    it.answer_run(it.send_order(), verdict::ran, refusal::none, 201);
    it.advance(std::chrono::seconds{59});
    CHECK(it.entry.open_links() == 1);
    it.advance(std::chrono::seconds{2});
    CHECK(it.take<close_link>().size() == 1);
    CHECK(it.entry.open_links() == 0);
    it.call("GET");
    CHECK(it.take<open_link>().at(0).link == link_id{2});
}

TEST_CASE("a link that does not open in time is lost", "[entry][link]") {
    entry_fixture it{1};
    it.call("POST");
    it.take<open_link>();
    it.advance(milliseconds{250});
    CHECK(it.take<close_link>().size() == 1);
    const auto answers = it.take<answer_caller>();
    CHECK(answers.at(0).outcome == verdict::not_run);
    CHECK(answers.at(0).retry_after > duration::zero());
}

// The address may have been reassigned to another node.
TEST_CASE("a link is closed if the peer has another target id", "[entry][link]") {
    entry_fixture it{1};
    it.call("POST");
    const auto opened = it.take<open_link>().at(0);
    it.entry.on_link_opened(opened.link);
    it.entry.on_message(opened.link, hello{target_id{"other-1"}, incarnation{1}, {}, 3});
    CHECK(it.take<close_link>().size() == 1);
    CHECK(it.sent<run_request>().empty());
}

TEST_CASE("a link is reopened if the address of its target changes", "[entry][link]") {
    entry_fixture it{1};
    const auto first = it.send_order();
    it.current_plan = make_plan(1);
    it.current_plan->services[0].targets[0].node_address = "127.0.0.1:7999";
    it.publish();
    CHECK(it.take<close_link>().at(0).link == first.first);
    CHECK(it.take<open_link>().at(0).address == "127.0.0.1:7999");
}

// Accepting such an answer could send a caller the response to another request, or two answers.
TEST_CASE("late, duplicate and unrelated answers are dropped and counted", "[entry][link]") {
    entry_fixture it{2};
    const auto first = it.send_order();
    it.count(metric::answer_discarded);

    SECTION("duplicate") {
        it.answer_run(first, verdict::ran, refusal::none, 201);
        it.answer_run(first, verdict::ran, refusal::none, 201);
        CHECK(it.take<answer_caller>().size() == 1);
    }
    SECTION("about a second copy of a run that is in progress") {
        it.answer_run(first, verdict::unknown, refusal::duplicate);
        CHECK(it.take<answer_caller>().empty());
        it.answer_run(first, verdict::ran, refusal::none, 201);
        CHECK(it.take<answer_caller>().at(0).outcome == verdict::ran);
    }
    SECTION("of a link that was replaced") {
        it.entry.on_link_closed(first.first);
        it.answer_run(first, verdict::ran, refusal::none, 201);
        CHECK(it.take<answer_caller>().empty());
    }
    SECTION("of an attempt that was not made") {
        auto other = first;
        other.second.attempt.number = 2;
        it.answer_run(other, verdict::ran, refusal::none, 201);
        CHECK(it.take<answer_caller>().empty());
    }
    SECTION("of another entry's request") {
        auto other = first;
        other.second.attempt.request.entry = incarnation{0xe2};
        it.answer_run(other, verdict::ran, refusal::none, 201);
        CHECK(it.take<answer_caller>().empty());
    }
    SECTION("of a call that its caller abandoned") {
        it.entry.on_abandoned({call_id{it.last_call}});
        // The owner drops an order from its queue, but lets one at its server finish.
        const auto cancelled = it.sent<cancel_attempt>();
        REQUIRE(cancelled.size() == 1);
        CHECK(cancelled.at(0).second.attempt == first.second.attempt);
        it.answer_run(first, verdict::ran, refusal::none, 201);
        CHECK(it.take<answer_caller>().empty());
        CHECK(it.entry.calls_in_progress() == 0);
    }
    CHECK(it.count(metric::answer_discarded) == 1);
}

} // namespace cornelpier::test
