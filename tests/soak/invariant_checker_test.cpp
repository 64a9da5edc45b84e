#include "tests/soak/invariant_checker.hpp"

#include <catch2/catch.hpp>

namespace cornelpier::soak {

namespace {

using std::chrono::milliseconds;

const request_record order{"q1", false, "/unsafe/q1", "order", milliseconds{1000}};
const request_record lookup{"q2", true, "/safe/q2", "", milliseconds{1000}};

answer_record answer_to(const request_record& request) {
    return {200, request.id, "seal", "body of " + request.id};
}

/// @return the rules of all violations, in order.
std::vector<std::string> rules(invariant_checker& checker) {
    checker.finish();
    std::vector<std::string> result;
    for (const auto& it : checker.violations()) {
        result.push_back(it.substr(0, it.find(':')));
    }
    return result;
}

using list = std::vector<std::string>;

} // namespace

TEST_CASE("a request that is served once violates no rule", "[soak]") {
    invariant_checker checker{2};
    checker.on_request_sent(order);
    checker.on_execution(order);
    checker.on_server_response("q1", answer_to(order));
    checker.on_caller_response("q1", answer_to(order));
    CHECK(rules(checker).empty());
}

TEST_CASE("a second execution is reported for an order but not for a lookup", "[soak]") {
    invariant_checker checker{2};
    for (const auto& it : {order, lookup}) {
        checker.on_request_sent(it);
        checker.on_execution(it);
        checker.on_execution(it);
    }
    CHECK(rules(checker) == list{"twice"});
    checker.on_execution(lookup);
    CHECK(rules(checker) == list{"twice", "budget"});
}

TEST_CASE("a refusal of an order that was executed before or after it is reported", "[soak]") {
    invariant_checker before{2};
    before.on_request_sent(order);
    before.on_execution(order);
    before.on_caller_response("q1", {503, "q1", "", ""});
    CHECK(rules(before) == list{"refused"});

    invariant_checker after{2};
    after.on_request_sent(order);
    after.on_caller_response("q1", {503, "q1", "", ""});
    after.on_execution(order);
    CHECK(rules(after) == list{"refused"});

    invariant_checker unknown{2};
    unknown.on_request_sent(order);
    unknown.on_execution(order);
    unknown.on_caller_response("q1", {504, "q1", "", ""});
    CHECK(rules(unknown).empty());
}

TEST_CASE("executions of requests that no caller sent in this form are reported", "[soak]") {
    invariant_checker checker{2};
    checker.on_execution(order);
    checker.on_request_sent(lookup);
    auto changed = lookup;
    changed.target = "/safe/other";
    checker.on_execution(changed);
    changed = lookup;
    changed.deadline = milliseconds{1600};
    checker.on_execution(changed);
    CHECK(rules(checker) == list{"unasked", "unasked", "budget"});
}

TEST_CASE("responses that no server sent to the request are reported", "[soak]") {
    invariant_checker checker{2};
    for (const auto& it : {order, lookup}) {
        checker.on_request_sent(it);
        checker.on_execution(it);
        checker.on_server_response(it.id, answer_to(it));
    }
    auto cut = answer_to(order);
    cut.body.pop_back();
    checker.on_caller_response("q1", cut);
    checker.on_caller_response("q2", answer_to(order));
    checker.on_caller_response("q2", {200, "q2", "", "body of q2"});
    checker.on_caller_response("q2", {502, "q2", "seal", "body of q2"});
    CHECK(rules(checker) == list{"mixed", "mixed", "mixed", "mixed"});
}

TEST_CASE("permanent rejections of valid requests are reported", "[soak]") {
    invariant_checker checker{2};
    checker.on_request_sent(order);
    checker.on_caller_response("q1", {404, "q1", "", ""});
    checker.on_caller_response("q1", {301, "q1", "", ""});
    checker.on_caller_response("q1", {429, "q1", "", ""});
    CHECK(rules(checker) == list{"denied", "denied"});
}

TEST_CASE("lost responses are reported once they exceed the number that the platform tolerates", "[soak]") {
    invariant_checker checker{2};
    for (int n = 0; n < 4; ++n) {
        auto it = order;
        it.id = "q" + std::to_string(n);
        checker.on_request_sent(it);
        checker.on_execution(it);
        checker.on_connection_lost(it.id, n == 3);
    }
    CHECK(rules(checker).empty());
    checker.on_connection_lost("q3", false);
    CHECK(rules(checker) == list{"lost", "lost", "lost", "lost"});
}

} // namespace cornelpier::soak
