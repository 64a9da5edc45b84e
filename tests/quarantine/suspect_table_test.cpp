#include "cornelpier/quarantine/suspect_table.hpp"

#include <catch2/catch.hpp>

namespace cornelpier {

namespace {

using std::chrono::seconds;

const service_id service{"bins"};
const time_point start{seconds{1000}};

request_fingerprint request(std::uint64_t n) {
    return {1, n};
}

crash_id crash(std::uint64_t owner, std::uint64_t number = 1) {
    return {incarnation{owner}, number};
}

/// A table after two ends of servers at which request 1 was in progress.
suspect_table after_two_crashes() {
    suspect_table it;
    it.on_crash(crash(1), service, {request(1), request(2), request(3)}, start);
    it.on_crash(crash(2), service, {request(4), request(1), request(5)}, start + seconds{1});
    return it;
}

} // namespace

TEST_CASE("one end of a server makes all requests in progress suspects and none the cause", "[quarantine]") {
    suspect_table it;
    const auto changes = it.on_crash(crash(1), service, {request(1), request(2)}, start);
    CHECK(changes.has_news);
    CHECK(changes.quarantined.empty());
    CHECK(it.level(request(1), start) == suspicion::suspected);
    CHECK(it.level(request(2), start) == suspicion::suspected);
    CHECK(it.level(request(3), start) == suspicion::none);
}

TEST_CASE("the request that two ends have in common comes into quarantine and clears the others",
          "[quarantine]") {
    const suspect_table it = after_two_crashes();
    const time_point now = start + seconds{1};
    CHECK(it.level(request(1), now) == suspicion::quarantined);
    CHECK(it.quarantine_left(request(1), now) == suspect_table::first_quarantine);
    for (std::uint64_t n = 2; n <= 5; ++n) {
        CHECK(it.level(request(n), now) == suspicion::none);
    }
}

TEST_CASE("requests that all were in progress at two ends are not told apart", "[quarantine]") {
    suspect_table it;
    it.on_crash(crash(1), service, {request(1), request(2)}, start);
    it.on_crash(crash(2), service, {request(1), request(2)}, start);
    CHECK(it.level(request(1), start) == suspicion::suspected);
    CHECK(it.level(request(2), start) == suspicion::suspected);
    it.on_crash(crash(3), service, {request(2), request(7)}, start);
    CHECK(it.level(request(2), start) == suspicion::quarantined);
    CHECK(it.level(request(1), start) == suspicion::none);
}

TEST_CASE("a quarantine ends, and the next one lasts twice as long", "[quarantine]") {
    suspect_table it = after_two_crashes();
    const time_point end = start + seconds{1} + suspect_table::first_quarantine;
    CHECK(it.level(request(1), end - duration{1}) == suspicion::quarantined);
    CHECK(it.level(request(1), end) == suspicion::suspected);

    const auto changes = it.on_crash(crash(3), service, {request(1), request(8)}, end);
    REQUIRE(changes.quarantined.size() == 1);
    CHECK(changes.quarantined.front().length == 2 * suspect_table::first_quarantine);
    CHECK(it.level(request(8), end) == suspicion::none);
}

TEST_CASE("a quarantine that has ended does not begin again by what other nodes remember", "[quarantine]") {
    suspect_table it = after_two_crashes();
    suspect_table other = after_two_crashes();
    const time_point end = start + seconds{1} + suspect_table::first_quarantine;
    it.apply(other.make_update(service, end), end);
    CHECK(it.level(request(1), end) == suspicion::suspected);

    suspect_table joined;
    joined.apply(it.make_update(service, end), end);
    CHECK(joined.level(request(1), end) == suspicion::suspected);
    it.apply(joined.make_update(service, end), end);
    CHECK(it.level(request(1), end) == suspicion::suspected);

    // The node that joined knows how long the last quarantine was.
    const auto changes = joined.on_crash(crash(3), service, {request(1), request(8)}, end);
    REQUIRE(changes.quarantined.size() == 1);
    CHECK(changes.quarantined.front().length == 2 * suspect_table::first_quarantine);
}

TEST_CASE("a run that ends well clears its request", "[quarantine]") {
    suspect_table it;
    it.on_crash(crash(1), service, {request(1), request(2)}, start);
    CHECK(it.on_success(request(1), start) == suspicion::suspected);
    CHECK(it.level(request(1), start) == suspicion::none);
    // What it was suspected of before does not count any more, also if another node still says so.
    suspect_notice late;
    late.fingerprint = request(1);
    late.crashes = {crash(1)};
    CHECK_FALSE(it.apply({service, {late}}, start).has_news);
    it.on_crash(crash(2), service, {request(1), request(9)}, start);
    CHECK(it.level(request(1), start) == suspicion::suspected);
}

TEST_CASE("the end of a quarantine by a good run is passed on", "[quarantine]") {
    suspect_table it = after_two_crashes();
    suspect_table other = after_two_crashes();
    const time_point now = start + seconds{2};
    CHECK(it.on_success(request(1), now) == suspicion::quarantined);
    CHECK(other.apply(it.make_update(service, {request(1)}, now), now).has_news);
    CHECK(other.level(request(1), now) == suspicion::none);
}

TEST_CASE("nodes that hear of two ends from different owners find the same cause", "[quarantine]") {
    suspect_table first;
    suspect_table second;
    suspect_table third;
    first.on_crash(crash(1), service, {request(1), request(2)}, start);
    second.on_crash(crash(2), service, {request(1), request(3)}, start);
    CHECK(third.apply(first.make_update(service, start), start).quarantined.empty());
    CHECK(third.apply(second.make_update(service, start), start).quarantined.size() == 1);
    CHECK(first.apply(second.make_update(service, start), start).quarantined.size() == 1);
    CHECK(third.level(request(1), start) == suspicion::quarantined);
    CHECK(third.level(request(2), start) == suspicion::none);
    CHECK(third.level(request(3), start) == suspicion::none);
    // A late message about an explained end names nobody.
    CHECK_FALSE(third.apply(second.make_update(service, start), start).has_news);
}

TEST_CASE("a node that joins learns of a quarantine and how long it lasts", "[quarantine]") {
    const suspect_table it = after_two_crashes();
    suspect_table joined;
    const time_point now = start + seconds{21};
    // Clocks of nodes differ.
    const time_point joined_now{seconds{5}};
    joined.apply(it.make_update(service, now), joined_now);
    CHECK(joined.level(request(1), joined_now) == suspicion::quarantined);
    CHECK(joined.quarantine_left(request(1), joined_now) == suspect_table::first_quarantine - seconds{20});
}

TEST_CASE("a node that connects is not told of suspects of one end for long", "[quarantine]") {
    suspect_table it = after_two_crashes();
    it.on_crash(crash(3), service, {request(6), request(7)}, start + seconds{1});
    CHECK(it.make_update(service, start + seconds{1}).suspects.size() == 3);
    const time_point later = start + seconds{1} + suspect_table::recent_time + duration{1};
    const auto update = it.make_update(service, later);
    REQUIRE(update.suspects.size() == 1);
    CHECK(update.suspects.front().fingerprint == request(1));
}

TEST_CASE("the table is bounded, and many suspects do not push out a quarantine", "[quarantine]") {
    suspect_table it = after_two_crashes();
    for (std::uint64_t n = 0; n < 200; ++n) {
        std::vector<request_fingerprint> exposed;
        for (std::uint64_t k = 0; k < 100; ++k) {
            exposed.push_back(request(1000 + 100 * n + k));
        }
        it.on_crash(crash(10 + n), service, exposed, start + seconds{2});
        REQUIRE(it.size() <= suspect_table::max_records);
    }
    CHECK(it.level(request(1), start + seconds{2}) == suspicion::quarantined);
}

TEST_CASE("suspects are forgotten after a while", "[quarantine]") {
    suspect_table it;
    it.on_crash(crash(1), service, {request(1)}, start);
    const time_point later = start + suspect_table::suspicion_length;
    CHECK(it.level(request(1), later) == suspicion::none);
    it.expire(later);
    CHECK(it.empty());
}

TEST_CASE("a request is found by service, method, host, path and body only", "[quarantine]") {
    const http_request known{"GET", "/x?a=1", {{"host", "h"}, {"x-id", "1"}}, make_body("b")};
    suspect_table it;
    it.on_crash(crash(1), service, {fingerprint_of(service, known)}, start);
    const auto level = [&](const http_request& request, const service_id& of = service) {
        return it.level(of, request, start);
    };
    http_request repeat = known;
    repeat.fields = {{"x-id", "2"}, {"host", "h"}};
    CHECK(level(repeat) == suspicion::suspected);
    CHECK(level(known, service_id{"other"}) == suspicion::none);
    for (const auto& change :
         std::vector<void (*)(http_request&)>{[](http_request& request) { request.method = "POST"; },
                                              [](http_request& request) { request.path = "/x"; },
                                              [](http_request& request) {
                                                  request.fields = {{"host", "other"}};
                                              },
                                              [](http_request& request) { request.body = make_body("c"); },
                                              [](http_request& request) { request.body = nullptr; }}) {
        http_request other = known;
        change(other);
        CHECK(level(other) == suspicion::none);
    }
}

TEST_CASE("a refusal by an owner that knows more starts the quarantine here", "[quarantine]") {
    suspect_table it;
    it.on_refused(service, request(1), seconds{30}, start);
    CHECK(it.level(request(1), start) == suspicion::quarantined);
    CHECK(it.quarantine_left(request(1), start) == seconds{30});
    CHECK(it.on_success(request(1), start) == suspicion::quarantined);
    CHECK(it.level(request(1), start) == suspicion::none);
}

} // namespace cornelpier
