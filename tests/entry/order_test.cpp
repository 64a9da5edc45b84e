#include "cornelpier/base/hash.hpp"

#include "tests/entry/entry_fixture.hpp"

#include <catch2/catch.hpp>

namespace cornelpier::test {

namespace {

target_id home_of(const plan& current_plan, const std::string& key) {
    const auto& targets = current_plan.services[0].targets;
    return std::ranges::max_element(
               targets, {},
               [&](const target_plan& t) { return rendezvous_score("shop\n" + key, t.id.value()); })
        ->id;
}

/// Closes the link of an order and opens the next one.
/// @return the new link.
link_id replace_link(entry_fixture& it, link_id old, std::uint64_t process = owner_incarnation) {
    it.entry.on_link_closed(old);
    it.open_links(process);
    return link_id{old.value() + 1};
}

} // namespace

// Without a permit of the owner's incarnation, an order could run twice after a pause or a restart.
TEST_CASE("an order waits for a permit and carries it", "[entry][order]") {
    entry_fixture it;
    it.call("POST");
    const auto opened = it.take<open_link>().at(0);
    it.entry.on_link_opened(opened.link);
    CHECK(it.sent<run_request>().empty());
    CHECK(it.sent<permit_request>().size() == 1);

    const run_permit permit{incarnation{owner_incarnation}, time_point{std::chrono::seconds{5}}};
    it.entry.on_message(opened.link, permit_grant{permit});
    const auto runs = it.sent<run_request>();
    REQUIRE(runs.size() == 1);
    CHECK(runs[0].second.permit == permit);
}

TEST_CASE("an order refused for its permit is sent again with a fresh permit", "[entry][order]") {
    entry_fixture it;
    const auto first = it.send_order();
    it.answer_run(first, verdict::not_run, refusal::no_permit);
    it.open_links();
    const auto runs = it.sent<run_request>();
    REQUIRE(runs.size() == 1);
    CHECK(runs[0].second.attempt.number == 2);
    CHECK(it.take<answer_caller>().empty());
}

// Repeating an order without proof that it did not run could place it twice.
TEST_CASE("an order whose link was lost is not repeated, but its fate is queried", "[entry][order]") {
    entry_fixture it;
    const auto first = it.send_order();
    const link_id link = replace_link(it, first.first);
    CHECK(it.sent<run_request>().empty());
    const auto queries = it.sent<fate_query>();
    REQUIRE(queries.size() == 1);
    CHECK(queries[0].first == link);
    CHECK(queries[0].second.attempt == first.second.attempt);
    CHECK(queries[0].second.permit == first.second.permit);

    SECTION("refused: another attempt is allowed") {
        it.send_fate(link, first.second.attempt, fate_outcome::refused);
        it.open_links();
        const auto runs = it.sent<run_request>();
        REQUIRE(runs.size() == 1);
        it.answer_run(runs[0], verdict::ran, refusal::none, 201);
        CHECK(it.take<answer_caller>().at(0).outcome == verdict::ran);
    }
    SECTION("ran: the stored answer is forwarded once") {
        it.answer_run({link, first.second}, verdict::ran, refusal::none, 201);
        it.send_fate(link, first.second.attempt, fate_outcome::ran);
        const auto answers = it.take<answer_caller>();
        REQUIRE(answers.size() == 1);
        CHECK(answers[0].response.status == 201);
    }
    SECTION("ran without a stored answer: verdict ran without a body") {
        it.send_fate(link, first.second.attempt, fate_outcome::ran);
        const auto answers = it.take<answer_caller>();
        CHECK(answers.at(0).outcome == verdict::ran);
        CHECK(answers.at(0).response.status == 409);
    }
    SECTION("running: the fate is queried again") {
        it.send_fate(link, first.second.attempt, fate_outcome::running);
        CHECK(it.sent<fate_query>().empty());
        it.advance(milliseconds{30});
        CHECK(it.sent<fate_query>().size() == 1);
        CHECK(it.take<answer_caller>().empty());
    }
    SECTION("unknown: the call is answered at once") {
        it.send_fate(link, first.second.attempt, fate_outcome::unknown);
        const auto answers = it.take<answer_caller>();
        CHECK(answers.at(0).outcome == verdict::unknown);
        CHECK(answers.at(0).retry_after == duration::zero());
    }
    SECTION("no reply: unknown at the deadline") {
        it.advance(std::chrono::seconds{2});
        const auto answers = it.take<answer_caller>();
        REQUIRE(answers.size() == 1);
        CHECK(answers[0].outcome == verdict::unknown);
        CHECK(answers[0].response.status == 504);
        CHECK(it.sent<run_request>().empty());
    }
}

// A restarted owner has no records of its predecessor, so its "refused" proves nothing.
TEST_CASE("an order is unknown if its owner restarted with another incarnation", "[entry][order]") {
    entry_fixture it;
    const auto first = it.send_order();
    const link_id link = replace_link(it, first.first, 0x88);
    const auto answers = it.take<answer_caller>();
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].outcome == verdict::unknown);

    it.send_fate(link, first.second.attempt, fate_outcome::refused);
    CHECK(it.take<answer_caller>().empty());
    CHECK(it.sent<run_request>().empty());
}

TEST_CASE("an order that a failing server may have run is not repeated", "[entry][order]") {
    entry_fixture it;
    const auto first = it.send_order();
    it.answer_run(first, verdict::unknown, refusal::none, 500);
    CHECK(it.sent<run_request>().empty());
    const auto answers = it.take<answer_caller>();
    CHECK(answers.at(0).outcome == verdict::unknown);
    CHECK(answers.at(0).response.status == 500);
}

TEST_CASE("an order that could not be sent goes to another target", "[entry][order]") {
    entry_fixture it;
    it.call("POST");
    const auto opened = it.take<open_link>().at(0);
    it.entry.on_link_closed(opened.link);
    const auto next = it.take<open_link>().at(0);
    CHECK(next.peer != opened.peer);
}

// A repeat through another entry must reach the same owner, otherwise the order could run twice.
TEST_CASE("a keyed order is sent to its home target only", "[entry][order]") {
    entry_fixture it{5};
    const std::string key = GENERATE("a", "b", "c");
    const auto first = it.send_order(key);
    CHECK(it.peers[first.first] == home_of(*it.current_plan, key));
    CHECK(first.second.key == key);
    CHECK_FALSE(first.second.wait_limit);

    const auto reason =
        GENERATE(refusal::overloaded, refusal::draining, refusal::server_down, refusal::not_home);
    it.answer_run(first, verdict::not_run, reason);
    CHECK(it.take<open_link>().empty());
    CHECK(it.sent<run_request>().empty());
    const auto answers = it.take<answer_caller>();
    CHECK(answers.at(0).outcome == verdict::not_run);
    CHECK(answers.at(0).response.status == 503);
}

// An earlier request with the same key may have run; only the home target can tell.
TEST_CASE("a keyed order is unknown if its home target cannot be reached", "[entry][order]") {
    entry_fixture it{5};
    it.call("POST", "k");
    for (int i = 0; i < 2; ++i) {
        const auto opened = it.take<open_link>();
        REQUIRE(opened.size() == 1);
        CHECK(opened[0].peer == home_of(*it.current_plan, "k"));
        it.entry.on_link_closed(opened[0].link);
        it.advance(milliseconds{100});
    }
    const auto answers = it.take<answer_caller>();
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].outcome == verdict::unknown);
    CHECK(answers[0].response.status == 503);
    CHECK(answers[0].retry_after > duration::zero());
}

TEST_CASE("refusals of a key by its home target are forwarded", "[entry][order]") {
    entry_fixture it;
    const auto first = it.send_order("k");
    const auto [reason, outcome, status] = GENERATE(std::tuple{refusal::key_conflict, verdict::not_run, 422},
                                                    std::tuple{refusal::key_running, verdict::unknown, 409},
                                                    std::tuple{refusal::key_unproved, verdict::unknown, 503});
    run_response reply{first.second.attempt, outcome, reason, {}, std::chrono::seconds{7}, {}, {}};
    it.entry.on_message(first.first, reply);

    const auto answers = it.take<answer_caller>();
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].response.status == status);
    CHECK(answers[0].outcome == outcome);
    if (reason != refusal::key_conflict) {
        CHECK(answers[0].retry_after == std::chrono::seconds{7});
    }
}

// An order that is sent after a pause of the entry must not carry a permit from before it.
TEST_CASE("after a pause permits are dropped and fates are queried on new links", "[entry][order]") {
    entry_fixture it{1};
    const auto first = it.send_order();
    it.sent<permit_request>();
    it.entry.on_pause();
    CHECK(it.take<close_link>().at(0).link == first.first);

    const auto opened = it.take<open_link>().at(0);
    it.entry.on_link_opened(opened.link);
    CHECK(it.sent<fate_query>().size() == 1);
    it.call("POST");
    CHECK(it.sent<run_request>().empty());
    CHECK(it.sent<permit_request>().size() == 1);
}

// A request received during a pause may be read after owners have forgotten its key.
TEST_CASE("a keyed order that may have been received during a pause is not sent", "[entry][order]") {
    entry_fixture it{1};
    it.entry.on_pause();
    it.call("POST", "key");

    const auto answers = it.take<answer_caller>();
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].response.status == 503);
    CHECK(answers[0].outcome == verdict::unknown);
    CHECK(answers[0].retry_after > duration::zero());

    it.advance(std::chrono::seconds{1});
    it.call("POST", "key");
    CHECK(it.take<answer_caller>().empty());
}

// A caller that repeats a key would take not-run as proof that its first request did not run either.
TEST_CASE("a keyed order is not answered with not-run if its home target was not asked", "[entry][order]") {
    entry_fixture it{1};
    it.call("POST", "key", 9);
    CHECK(it.take<answer_caller>().at(0).outcome == verdict::unknown);
    it.call("POST", {}, 9);
    CHECK(it.take<answer_caller>().at(0).outcome == verdict::not_run);
}

} // namespace cornelpier::test
