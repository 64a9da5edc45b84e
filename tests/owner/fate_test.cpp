#include "tests/owner/owner_fixture.hpp"

#include <catch2/catch.hpp>

namespace cornelpier::owner_test {

TEST_CASE("a fate query for an unseen attempt prevents a late copy from running", "[owner][fate]") {
    owner_fixture it;
    it.publish();
    const run_request message = it.order(1);
    CHECK(it.reply_to<fate_reply>(fate_query{message.attempt, message.permit}).outcome ==
          fate_outcome::refused);

    const auto late = it.reply_to<run_response>(message);
    CHECK(late.outcome == verdict::not_run);
    CHECK(late.reason == refusal::duplicate);
    CHECK(it.take_actions<start_run>().empty());
}

TEST_CASE("a fate query that proves nothing is answered unknown", "[owner][fate]") {
    owner_fixture it;
    it.publish();
    fate_query query{it.attempt(1), it.permit()};
    SECTION("another incarnation") {
        query.permit->owner = incarnation{6};
    }
    SECTION("no permit") {
        query.permit.reset();
    }
    SECTION("a permit that was never issued") {
        query.permit->expires_at += seconds{100};
    }
    SECTION("after records have expired") {
        it.advance(seconds{65} + duration{1});
    }
    CHECK(it.reply_to<fate_reply>(query).outcome == fate_outcome::unknown);
}

TEST_CASE("a fate query up to 60 s after the permit expired is answered refused without a record",
          "[owner][fate]") {
    owner_fixture it;
    it.publish();
    const fate_query query{it.attempt(1), it.permit()};
    it.advance(seconds{65});
    CHECK(it.reply_to<fate_reply>(query).outcome == fate_outcome::refused);
    traffic_snapshot counts;
    it.owner.fill_snapshot(counts);
    CHECK(counts.ledger_records == 0);
}

TEST_CASE("the answer to a run is sent on the link on which its entry queries it", "[owner][fate]") {
    owner_fixture it;
    it.publish();
    const auto id = it.submit(it.order(1));
    hello greeting;

    SECTION("the entry itself") {
        greeting.process = it.entry;
    }
    SECTION("another entry") {
        greeting.process = incarnation{78};
    }
    const bool same = greeting.process == it.entry;

    it.owner.on_message(it.second_link, greeting);
    it.owner.on_message(it.second_link, fate_query{it.attempt(1), it.permit()});
    CHECK(it.take_sent<fate_reply>().at(0).outcome == fate_outcome::running);

    it.respond(*id);
    const auto messages = it.take_actions<send_message>();
    REQUIRE(messages.size() == 1);
    CHECK(messages.at(0).link == (same ? it.second_link : it.link));
}

TEST_CASE("the stored answer precedes the fate reply, without a response above 64 KiB", "[owner][fate]") {
    owner_fixture it;
    it.publish();
    const std::size_t size = GENERATE(65'536, 65'537);
    it.respond(*it.submit(it.order(1)), 200, std::string(size, 'x'));
    it.actions.clear();

    it.receive(fate_query{it.attempt(1), it.permit()});
    const auto messages = it.take_actions<send_message>();
    REQUIRE(messages.size() == 2);
    const auto& stored = std::get<run_response>(messages.at(0).message);
    CHECK(std::get<fate_reply>(messages.at(1).message).outcome == fate_outcome::ran);
    CHECK(stored.outcome == verdict::ran);
    CHECK(stored.response.has_value() == (size == 65'536));
    CHECK((!stored.response || (stored.response->status == 200 && stored.response->body->size() == size)));
}

TEST_CASE("a run that is refused on arrival leaves no record", "[owner][fate]") {
    owner_fixture it;
    it.publish();
    run_request message = it.order(1);
    message.remaining = duration::zero();
    CHECK(it.reply_to<run_response>(message).reason == refusal::deadline);
    traffic_snapshot counts;
    it.owner.fill_snapshot(counts);
    CHECK(counts.ledger_records == 0);
}

TEST_CASE("a full ledger refuses orders and accepts lookups", "[owner][fate]") {
    owner_fixture it;
    it.publish();
    for (std::uint64_t n = 1; n <= 20'000; ++n) {
        it.receive(fate_query{it.attempt(n), it.permit()});
        it.actions.clear();
    }
    CHECK(it.reply_to<run_response>(it.order(30'000)).reason == refusal::ledger_full);
    CHECK(it.submit(it.lookup(30'001)));
    const fate_query query{it.attempt(30'002), it.permit()};
    CHECK(it.reply_to<fate_reply>(query).outcome == fate_outcome::unknown);

    it.advance(seconds{65} + duration{1});
    CHECK(it.submit(it.order(30'003)));
}

} // namespace cornelpier::owner_test
