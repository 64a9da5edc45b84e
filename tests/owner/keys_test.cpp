#include "cornelpier/base/hash.hpp"

#include "tests/owner/owner_fixture.hpp"

#include <catch2/catch.hpp>

namespace cornelpier::owner_test {

namespace {

run keyed(const owner_fixture& it, std::uint64_t sequence, std::string key = "k") {
    run message = it.order(sequence);
    message.key = std::move(key);
    return message;
}

target_plan target(const std::string& name) {
    return {target_id{name}, vm_id{name}, data_centre_id{"dc1"}, "127.0.0.1:2"};
}

/// A key whose home among t1 and t2 is the given target.
std::string key_of(const std::string& home) {
    const std::string other = home == "t1" ? "t2" : "t1";
    for (int n = 0;; ++n) {
        const std::string key = std::to_string(n);
        if (rendezvous_score("comenzi\n" + key, home) > rendezvous_score("comenzi\n" + key, other)) {
            return key;
        }
    }
}

} // namespace

TEST_CASE("a key cannot be proved new until key_memory after the start", "[owner][key]") {
    owner_fixture it;
    it.publish();
    it.advance(seconds{20});
    const auto early = it.ask<answer>(keyed(it, 1));
    CHECK(early.outcome == verdict::unknown);
    CHECK(early.reason == refusal::key_unproved);
    CHECK(early.retry_after == seconds{100});

    it.advance(seconds{100});
    CHECK(it.submit(keyed(it, 2)));
}

TEST_CASE("a repeat with a key gets the first answer", "[owner][key]") {
    owner_fixture it;
    it.publish();
    it.advance(seconds{120});
    const auto id = it.submit(keyed(it, 1));
    const auto running = it.ask<answer>(keyed(it, 2));
    CHECK(running.outcome == verdict::unknown);
    CHECK(running.reason == refusal::key_running);
    CHECK(running.retry_after > duration::zero());

    it.serve(*id, 201, "made");
    // The repeat may be sent at the end of the key memory and arrive 7 s later.
    it.advance(seconds{127});
    const auto repeat = it.ask<answer>(keyed(it, 3));
    CHECK(repeat.outcome == verdict::ran);
    CHECK(*repeat.response->body == "made");

    run other = keyed(it, 4);
    other.request.body = make_body("b");
    const auto conflict = it.ask<answer>(other);
    CHECK(conflict.outcome == verdict::not_run);
    CHECK(conflict.reason == refusal::key_conflict);
    CHECK(it.take<start_run>().empty());

    it.advance(duration{1});
    CHECK(it.submit(keyed(it, 5)));
}

TEST_CASE("a key whose request did not run may be used again, one that may have run not", "[owner][key]") {
    owner_fixture it;
    it.publish();
    it.advance(seconds{120});
    it.owner.on_server_failed({*it.submit(keyed(it, 1)), server_failure::connect_failed});
    const auto id = it.submit(keyed(it, 2));
    REQUIRE(id);

    it.owner.on_server_failed({*id, server_failure::response_incomplete});
    CHECK(it.ask<answer>(keyed(it, 3)).outcome == verdict::unknown);
    CHECK(it.take<start_run>().empty());
}

TEST_CASE("a key is refused away from its home, and unproved after its home moved here", "[owner][key]") {
    owner_fixture it;
    it.service.targets.push_back(target("t2"));
    it.publish();
    it.advance(seconds{120});
    CHECK(it.ask<answer>(keyed(it, 1, key_of("t2"))).reason == refusal::not_home);

    it.service.targets.pop_back();
    it.publish();
    CHECK(it.ask<answer>(keyed(it, 2, key_of("t2"))).reason == refusal::key_unproved);
    CHECK(it.submit(keyed(it, 3, key_of("t1"))));
    it.advance(seconds{120});
    CHECK(it.submit(keyed(it, 4, key_of("t2"))));
}

TEST_CASE("a target that was out of the plan for a while cannot prove keys new", "[owner][key]") {
    owner_fixture it;
    it.publish();
    it.advance(seconds{120});
    const auto own = std::exchange(it.service.targets, {target("t2")});
    it.publish();
    it.advance(seconds{1});
    it.service.targets = own;
    it.publish();
    CHECK(it.ask<answer>(keyed(it, 1)).reason == refusal::key_unproved);
}

} // namespace cornelpier::owner_test
