#include "cornelpier/execution/attempt_ledger.hpp"
#include "cornelpier/execution/key_ledger.hpp"

#include <catch2/catch.hpp>

namespace cornelpier {

using std::chrono::seconds;

namespace {

constexpr time_point expiry{seconds{100}};

attempt_id attempt(std::uint64_t sequence) {
    return {{incarnation{1}, sequence}, 0};
}

run_response ran(std::size_t body = 0) {
    run_response result;
    result.outcome = verdict::ran;
    result.response = http_response{200, {}, make_body(std::string(body, 'x'))};
    return result;
}

} // namespace

TEST_CASE("a record is kept until 60 s after its permit expires, and longer while in progress", "[ledger]") {
    attempt_ledger ledger;
    CHECK(ledger.open(attempt(1), expiry));
    ledger.expire(expiry + seconds{1000});
    CHECK(ledger.contains(attempt(1)));

    ledger.close(attempt(1), ran());
    ledger.expire(expiry + seconds{60});
    CHECK(ledger.contains(attempt(1)));
    ledger.expire(expiry + seconds{60} + duration{1});
    CHECK_FALSE(ledger.contains(attempt(1)));
}

TEST_CASE("a full ledger evicts nothing", "[ledger]") {
    attempt_ledger ledger{2};
    CHECK(ledger.open(attempt(1), expiry));
    CHECK(ledger.refuse(attempt(2), expiry));
    CHECK_FALSE(ledger.open(attempt(3), expiry));
    CHECK_FALSE(ledger.refuse(attempt(3), expiry));
    CHECK(ledger.contains(attempt(1)));
    CHECK(ledger.contains(attempt(2)));

    key_ledger keys{1};
    CHECK(keys.open("a", 1));
    CHECK_FALSE(keys.open("b", 1));
    CHECK(keys.lookup("a", 1).state == key_ledger::status::running);
}

TEST_CASE("a final answer is not overwritten", "[ledger]") {
    attempt_ledger ledger;
    ledger.refuse(attempt(1), expiry);
    ledger.close(attempt(1), ran());
    CHECK(ledger.find(attempt(1))->outcome == verdict::not_run);
}

TEST_CASE("the total size of stored responses is bounded", "[ledger]") {
    answer_storage storage{100};
    const auto first = storage.store(ran(60));
    CHECK(first.response);
    CHECK_FALSE(storage.store(ran(60)).response);
    storage.release(first);
    CHECK(storage.store(ran(60)).response);
}

TEST_CASE("the fingerprint covers method, path and body", "[ledger]") {
    const http_request request{"POST", "/a", {}, make_body("b")};
    CHECK(fingerprint(request) == fingerprint(request));
    CHECK(fingerprint(request) != fingerprint({"PUT", "/a", {}, make_body("b")}));
    CHECK(fingerprint(request) != fingerprint({"POST", "/ab", {}, make_body("")}));
    CHECK(fingerprint(request) != fingerprint({"POST", "/a", {}, make_body("c")}));
}

} // namespace cornelpier
