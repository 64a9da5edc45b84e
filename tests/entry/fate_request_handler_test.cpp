#include "cornelpier/entry/request_token.hpp"

#include "tests/entry/entry_fixture.hpp"

#include <catch2/catch.hpp>

namespace cornelpier::test {

TEST_CASE("a request token can be written and parsed back", "[entry][token]") {
    const request_token token{
        target_id{"a.b-1"}, incarnation{0xffffffffffffffffULL}, {{incarnation{0x1f}, 0xabc}, 2}};
    CHECK(to_string(token) == "a.b-1.ffffffffffffffff.1f.abc.2");
    CHECK(parse_request_token(to_string(token)) == token);
}

TEST_CASE("malformed tokens are refused", "[entry][token]") {
    const std::string text = GENERATE("", "x", "a.1.2.3", ".1.2.3.4", "a.1.2.3.", "a.1.2.3.-4", "a.1.2.3.0x4",
                                      "a.1.2.3.100000000", "a.10000000000000000.2.3.4", "a.1.2 .3.4");
    CHECK_FALSE(parse_request_token(text));

    entry_fixture it;
    it.entry.on_fate_requested({call_id{1}, text});
    CHECK(it.take<answer_caller>().at(0).response.status == 400);
}

TEST_CASE("the owner in a request token is queried for the fate", "[entry][fate]") {
    entry_fixture it;
    const std::string token = "shop-1.77.e1.5.1";
    it.entry.on_fate_requested({call_id{1}, token});
    CHECK(it.entry.calls_in_progress() == 1);

    SECTION("each outcome has its text and verdict") {
        it.open_links();
        const auto queries = it.sent<fate_query>();
        REQUIRE(queries.size() == 1);
        CHECK(queries[0].second.permit->owner == incarnation{0x77});
        const auto [outcome, text, expected_verdict] =
            GENERATE(std::tuple{fate_outcome::ran, "ran\n", verdict::ran},
                     std::tuple{fate_outcome::refused, "not-run\n", verdict::not_run},
                     std::tuple{fate_outcome::running, "running\n", verdict::unknown},
                     std::tuple{fate_outcome::unknown, "unknown\n", verdict::unknown});
        // The owner sends its stored answer before the fate. It must not count as a discarded answer.
        run_request stored;
        stored.attempt = queries[0].second.attempt;
        it.answer_run({queries[0].first, stored}, verdict::ran, refusal::none, 201);
        it.send_fate(queries[0].first, queries[0].second.attempt, outcome);
        const auto answers = it.take<answer_caller>();
        REQUIRE(answers.size() == 1);
        CHECK(answers[0].response.status == 200);
        CHECK(*answers[0].response.body == text);
        CHECK(answers[0].outcome == expected_verdict);
        CHECK(it.count(metric::answer_discarded) == 0);
    }
    SECTION("the owner has another incarnation") {
        it.open_links(0x88);
        CHECK(*it.take<answer_caller>().at(0).response.body == "unknown\n");
    }
    SECTION("the owner cannot be reached") {
        it.entry.on_link_closed(it.take<open_link>().at(0).link);
        CHECK(*it.take<answer_caller>().at(0).response.body == "unknown\n");
    }
    SECTION("the owner does not reply") {
        it.open_links();
        it.advance(std::chrono::seconds{1});
        CHECK(*it.take<answer_caller>().at(0).response.body == "unknown\n");
    }
    CHECK(it.entry.calls_in_progress() == 0);
}

} // namespace cornelpier::test
