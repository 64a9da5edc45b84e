#include "tests/soak/promise_ledger.hpp"

#include <catch2/catch.hpp>

namespace cornelpier::soak {

namespace {

using std::chrono::milliseconds;

const request_record order{"q1", false, "/unsafe/q1", "order", milliseconds{1000}};
const request_record lookup{"q2", true, "/safe/q2", "", milliseconds{1000}};

answer_record answer_to(const request_record& request) {
    return {200, request.id, "seal", "body of " + request.id};
}

/// @return rules of all complaints, in order.
std::vector<std::string> rules(promise_ledger& ledger) {
    ledger.finish();
    std::vector<std::string> result;
    for (const auto& it : ledger.complaints()) {
        result.push_back(it.substr(0, it.find(':')));
    }
    return result;
}

using list = std::vector<std::string>;

} // namespace

TEST_CASE("a request that is served once breaks nothing", "[soak]") {
    promise_ledger ledger{2};
    ledger.on_sent(order);
    ledger.on_run(order);
    ledger.on_served("q1", answer_to(order));
    ledger.on_answer("q1", answer_to(order));
    CHECK(rules(ledger).empty());
}

TEST_CASE("an order that begins twice is noticed, a lookup may", "[soak]") {
    promise_ledger ledger{2};
    for (const auto& it : {order, lookup}) {
        ledger.on_sent(it);
        ledger.on_run(it);
        ledger.on_run(it);
    }
    CHECK(rules(ledger) == list{"twice"});
    ledger.on_run(lookup);
    CHECK(rules(ledger) == list{"twice", "budget"});
}

TEST_CASE("a refusal of an order that has run, or runs later, is noticed", "[soak]") {
    promise_ledger before{2};
    before.on_sent(order);
    before.on_run(order);
    before.on_answer("q1", {503, "q1", "", ""});
    CHECK(rules(before) == list{"refused"});

    promise_ledger after{2};
    after.on_sent(order);
    after.on_answer("q1", {503, "q1", "", ""});
    after.on_run(order);
    CHECK(rules(after) == list{"refused"});

    promise_ledger unknown{2};
    unknown.on_sent(order);
    unknown.on_run(order);
    unknown.on_answer("q1", {504, "q1", "", ""});
    CHECK(rules(unknown).empty());
}

TEST_CASE("requests that no caller sent, or in other words, are noticed", "[soak]") {
    promise_ledger ledger{2};
    ledger.on_run(order);
    ledger.on_sent(lookup);
    auto changed = lookup;
    changed.target = "/safe/other";
    ledger.on_run(changed);
    changed = lookup;
    changed.deadline = milliseconds{1600};
    ledger.on_run(changed);
    CHECK(rules(ledger) == list{"unasked", "unasked", "budget"});
}

TEST_CASE("answers that no server gave to the request are noticed", "[soak]") {
    promise_ledger ledger{2};
    for (const auto& it : {order, lookup}) {
        ledger.on_sent(it);
        ledger.on_run(it);
        ledger.on_served(it.id, answer_to(it));
    }
    auto cut = answer_to(order);
    cut.body.pop_back();
    ledger.on_answer("q1", cut);
    ledger.on_answer("q2", answer_to(order));
    ledger.on_answer("q2", {200, "q2", "", "body of q2"});
    ledger.on_answer("q2", {502, "q2", "seal", "body of q2"});
    CHECK(rules(ledger) == list{"mixed", "mixed", "mixed", "mixed"});
}

TEST_CASE("proper requests that are turned away for good are noticed", "[soak]") {
    promise_ledger ledger{2};
    ledger.on_sent(order);
    ledger.on_answer("q1", {404, "q1", "", ""});
    ledger.on_answer("q1", {301, "q1", "", ""});
    ledger.on_answer("q1", {429, "q1", "", ""});
    CHECK(rules(ledger) == list{"denied", "denied"});
}

TEST_CASE("connections that end after a run count once they are more than the platform tolerates", "[soak]") {
    promise_ledger ledger{2};
    for (int n = 0; n < 4; ++n) {
        auto it = order;
        it.id = "q" + std::to_string(n);
        ledger.on_sent(it);
        ledger.on_run(it);
        ledger.on_broken(it.id, n == 3);
    }
    CHECK(rules(ledger).empty());
    ledger.on_broken("q3", false);
    CHECK(rules(ledger) == list{"lost", "lost", "lost", "lost"});
}

} // namespace cornelpier::soak
