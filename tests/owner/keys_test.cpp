#include "cornelpier/base/hash.hpp"

#include "tests/owner/owner_fixture.hpp"

#include <catch2/catch.hpp>

namespace cornelpier::owner_test {

namespace {

run_request order_with_key(const owner_fixture& it, std::uint64_t sequence, std::string key = "k") {
    run_request message = it.order(sequence);
    message.key = std::move(key);
    return message;
}

target_plan target(const std::string& name) {
    return {target_id{name}, vm_id{name}, data_centre_id{"dc1"}, "127.0.0.1:2"};
}

/// @return a key whose home among t1 and t2 is the given target.
std::string key_with_home(const std::string& home) {
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
    const auto early = it.reply_to<run_response>(order_with_key(it, 1));
    CHECK(early.outcome == verdict::unknown);
    CHECK(early.reason == refusal::key_unproved);
    CHECK(early.retry_after == seconds{100});

    it.advance(seconds{100});
    CHECK(it.submit(order_with_key(it, 2)));
}

TEST_CASE("a repeat with the same key gets the first answer", "[owner][key]") {
    owner_fixture it;
    it.publish();
    it.advance(seconds{120});
    const auto id = it.submit(order_with_key(it, 1));
    const auto running = it.reply_to<run_response>(order_with_key(it, 2));
    CHECK(running.outcome == verdict::unknown);
    CHECK(running.reason == refusal::key_running);
    CHECK(running.retry_after > duration::zero());

    it.respond(*id, 201, "made");
    // A repeat that is sent at the end of the 120 s key memory may arrive 7 s later: after up to 2 s at its
    // entry (deadline) and 5 s in the network (permit lifetime).
    it.advance(seconds{127});
    const auto repeat = it.reply_to<run_response>(order_with_key(it, 3));
    CHECK(repeat.outcome == verdict::ran);
    CHECK(*repeat.response->body == "made");

    run_request other = order_with_key(it, 4);
    other.request.body = make_body("b");
    const auto conflict = it.reply_to<run_response>(other);
    CHECK(conflict.outcome == verdict::not_run);
    CHECK(conflict.reason == refusal::key_conflict);
    CHECK(it.take_actions<start_run>().empty());

    it.advance(duration{1});
    CHECK(it.submit(order_with_key(it, 5)));
}

TEST_CASE("a key can be reused if its request did not run, but not if it may have run", "[owner][key]") {
    owner_fixture it;
    it.publish();
    it.advance(seconds{120});
    it.owner.on_server_failed({*it.submit(order_with_key(it, 1)), server_failure::connect_failed});
    const auto id = it.submit(order_with_key(it, 2));
    REQUIRE(id);

    it.owner.on_server_failed({*id, server_failure::response_incomplete});
    CHECK(it.reply_to<run_response>(order_with_key(it, 3)).outcome == verdict::unknown);
    CHECK(it.take_actions<start_run>().empty());
}

TEST_CASE("a key is refused by targets that are not its home, and unproved after its home changed",
          "[owner][key]") {
    owner_fixture it;
    it.service.targets.push_back(target("t2"));
    it.publish();
    it.advance(seconds{120});
    CHECK(it.reply_to<run_response>(order_with_key(it, 1, key_with_home("t2"))).reason == refusal::not_home);

    it.service.targets.pop_back();
    it.publish();
    CHECK(it.reply_to<run_response>(order_with_key(it, 2, key_with_home("t2"))).reason ==
          refusal::key_unproved);
    CHECK(it.submit(order_with_key(it, 3, key_with_home("t1"))));
    it.advance(seconds{120});
    CHECK(it.submit(order_with_key(it, 4, key_with_home("t2"))));
}

TEST_CASE("a target that was temporarily missing from the plan cannot prove keys new", "[owner][key]") {
    owner_fixture it;
    it.publish();
    it.advance(seconds{120});
    const auto own = std::exchange(it.service.targets, {target("t2")});
    it.publish();
    it.advance(seconds{1});
    it.service.targets = own;
    it.publish();
    CHECK(it.reply_to<run_response>(order_with_key(it, 1)).reason == refusal::key_unproved);
}

} // namespace cornelpier::owner_test
