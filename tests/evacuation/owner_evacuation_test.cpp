#include "cornelpier/execution/key_placement.hpp"

#include "tests/owner/owner_fixture.hpp"

#include <catch2/catch.hpp>

namespace cornelpier::owner_test {

namespace {

const data_centre_id own_data_centre{"dc1"};
const data_centre_id other_data_centre{"dc2"};

/// @return data centre and state of all logged changes, in order.
std::vector<std::string> changes_logged(owner_fixture& it) {
    std::vector<std::string> result;
    for (const auto& record : it.take_actions<record_event>()) {
        if (record.record.number == event_number::evacuation_changed) {
            const auto& fields = record.record.fields;
            result.push_back(fields.at(0).second + ' ' + fields.at(1).second);
        }
    }
    return result;
}

} // namespace

// Guards against runs of entries that do not know of the evacuation.
TEST_CASE("an owner in an evacuated data centre refuses new runs as not run", "[evacuation]") {
    owner_fixture it;
    it.evacuated = {own_data_centre};
    it.publish();
    for (const auto& message : {it.order(1), it.lookup(2)}) {
        const auto reply = it.reply_to<run_response>(message);
        CHECK(reply.outcome == verdict::not_run);
        CHECK(reply.reason == refusal::evacuated);
        CHECK(it.take_actions<start_run>().empty());
    }
    // The entries learn that the node itself does not leave.
    const auto reply = it.reply_to<run_response>(it.order(3));
    REQUIRE(reply.load);
    CHECK(reply.load->state == node_state::serving);

    it.evacuated = {};
    it.publish();
    CHECK(it.submit(it.order(4)));
}

TEST_CASE("the evacuation of other data centres does not concern an owner", "[evacuation]") {
    owner_fixture it;
    it.evacuated = {other_data_centre};
    it.publish();
    CHECK(it.submit(it.order(1)));
}

TEST_CASE("queued runs are refused at once and runs at the server complete", "[evacuation]") {
    owner_fixture it;
    it.publish();
    const auto first = it.submit(it.order(1));
    const auto second = it.submit(it.lookup(2));
    REQUIRE(first);
    REQUIRE(second);
    CHECK_FALSE(it.submit(it.order(3)));
    CHECK_FALSE(it.submit(it.lookup(4)));
    it.take_sent<run_response>();

    it.evacuated = {own_data_centre};
    it.publish();
    const auto refused = it.take_sent<run_response>();
    REQUIRE(refused.size() == 2);
    for (const auto& reply : refused) {
        CHECK(reply.outcome == verdict::not_run);
        CHECK(reply.reason == refusal::evacuated);
    }

    it.respond(*first, 201);
    it.respond(*second);
    const auto answers = it.take_sent<run_response>();
    REQUIRE(answers.size() == 2);
    CHECK(answers[0].outcome == verdict::ran);
    CHECK(answers[1].outcome == verdict::ran);
    CHECK(it.take_actions<start_run>().empty());
    CHECK(it.take_actions<cancel_run>().empty());
}

// Guards against an order that was refused as not run and runs later all the same.
TEST_CASE("a copy of a run that was refused for an evacuation does not run after its end", "[evacuation]") {
    owner_fixture it;
    it.publish();
    it.submit(it.order(1));
    it.submit(it.order(2));
    it.submit(it.order(3));
    it.evacuated = {own_data_centre};
    it.publish();
    it.evacuated = {};
    it.publish();
    const auto copy = it.reply_to<run_response>(it.order(3));
    CHECK(copy.outcome == verdict::not_run);
    CHECK(it.take_actions<start_run>().empty());
}

// Guards against a false "not run" for a run that is at the server.
TEST_CASE("a copy of a run at the server is not refused for the evacuation", "[evacuation]") {
    owner_fixture it;
    it.publish();
    REQUIRE(it.submit(it.order(1)));
    it.evacuated = {own_data_centre};
    it.publish();
    const auto reply = it.reply_to<run_response>(it.order(1));
    CHECK(reply.reason == refusal::duplicate);
    CHECK(reply.outcome == verdict::unknown);
}

// Guards against reports that the server must answer for runs that are refused anyway, and against runs that
// slip through while they wait for one.
TEST_CASE("a run does not wait for a fresh report in an evacuated data centre", "[evacuation]") {
    owner_fixture it;
    it.service.measuring = rate{40};
    it.publish();
    it.advance(seconds{2});
    it.take_actions<read_server_report>();
    auto waiting = it.lookup(1);
    waiting.route = "status";
    waiting.objective = milliseconds{500};
    CHECK_FALSE(it.submit(waiting));
    CHECK(it.take_actions<read_server_report>().size() == 1);

    it.evacuated = {own_data_centre};
    it.publish();
    const auto refused = it.take_sent<run_response>();
    REQUIRE(refused.size() == 1);
    CHECK(refused[0].reason == refusal::evacuated);
    waiting.attempt = owner_fixture::attempt(2);
    CHECK(it.reply_to<run_response>(waiting).reason == refusal::evacuated);
    CHECK(it.take_actions<read_server_report>().empty());
}

TEST_CASE("changes of the evacuated data centres are logged and counted", "[evacuation]") {
    owner_fixture it;
    it.evacuated = {own_data_centre};
    it.publish();
    it.publish();
    CHECK(changes_logged(it) == std::vector<std::string>{"dc1 1"});
    it.evacuated = {other_data_centre};
    it.publish();
    CHECK(changes_logged(it) == std::vector<std::string>{"dc2 1", "dc1 0"});
    traffic_snapshot snapshot;
    it.owner.fill_snapshot(snapshot);
    CHECK(snapshot.evacuated_data_centres == 1);
}

// Guards against a second run of an order whose key had its home in the evacuated data centre.
TEST_CASE("a key that moves because of an evacuation counts as unproved", "[evacuation]") {
    const target_id self{"t1"};
    const time_point start{seconds{1000}};
    service_plan service;
    service.id = service_id{"s"};
    service.targets = {target_plan{self, vm_id{"v1"}, own_data_centre, "127.0.0.1:1"},
                       target_plan{target_id{"t2"}, vm_id{"v2"}, other_data_centre, "127.0.0.1:2"}};
    key_placement placement{self, start - seconds{500}};
    placement.update(&service, start);
    std::string key = "k";
    while (placement.is_home(key)) {
        key += 'k';
    }
    placement.update(&service, start, {other_data_centre});
    CHECK(placement.is_home(key));
    CHECK(placement.unproved_time(key, start) == service.key_memory);
    placement.update(&service, start, {own_data_centre});
    CHECK_FALSE(placement.is_home(key));
}

} // namespace cornelpier::owner_test
