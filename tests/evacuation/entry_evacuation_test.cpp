#include "tests/entry/entry_fixture.hpp"

#include <catch2/catch.hpp>

#include <set>

namespace cornelpier::test {

namespace {

using std::chrono::seconds;

/// An entry in data centre `dc-1`, with target `shop-N` in data centre `dc-N`.
class evacuated_fixture : public entry_fixture {
  public:
    explicit evacuated_fixture(std::size_t targets = 3) : entry_fixture(targets) {}

    /// Puts a plan in force that evacuates exactly these data centres.
    void evacuate(std::vector<data_centre_id> data_centres) {
        current_plan = std::make_shared<plan>(*current_plan);
        current_plan->evacuated_data_centres = std::move(data_centres);
        publish();
    }

    /// Makes a call and opens the links that it needs.
    /// @return the run that was sent; throws if there is none.
    std::pair<link_id, run_request> send(const std::string& method = "GET") {
        call(method);
        open_links();
        return sent<run_request>().at(0);
    }

    const target_id& peer_of(const std::pair<link_id, run_request>& run) { return peers.at(run.first); }

    /// Makes calls of both kinds and answers them.
    /// @return the targets that they were sent to.
    std::set<target_id> used_targets(int calls = 30) {
        std::set<target_id> result;
        for (int n = 0; n < calls; ++n) {
            const auto run = send(n % 2 == 0 ? "GET" : "POST");
            result.insert(peer_of(run));
            advance(milliseconds{1});
            answer_run(run, verdict::ran, refusal::none, 200);
        }
        return result;
    }
};

const data_centre_id first_data_centre{"dc-1"};
const data_centre_id second_data_centre{"dc-2"};
const data_centre_id third_data_centre{"dc-3"};
const target_id first_target{"shop-1"};
const target_id second_target{"shop-2"};
const target_id third_target{"shop-3"};

} // namespace

// Guards against requests that reach servers of an evacuated data centre.
TEST_CASE("calls go to targets outside the evacuated data centre until it is withdrawn", "[evacuation]") {
    evacuated_fixture it;
    CHECK(it.used_targets().contains(first_target));
    it.evacuate({first_data_centre});
    CHECK_FALSE(it.used_targets().contains(first_target));
    it.evacuate({});
    CHECK(it.used_targets().contains(first_target));
}

TEST_CASE("two data centres are evacuated at once", "[evacuation]") {
    evacuated_fixture it;
    it.evacuate({first_data_centre, second_data_centre});
    CHECK(it.used_targets() == std::set{third_target});
    it.evacuate({second_data_centre});
    CHECK_FALSE(it.used_targets().contains(second_target));
}

// Guards against callers that wait until their deadline although no target can be used.
TEST_CASE("a call is refused at once if all targets are in evacuated data centres", "[evacuation]") {
    evacuated_fixture it{2};
    it.evacuate({first_data_centre, second_data_centre});
    it.call("POST");
    const auto answer = it.take<answer_caller>().at(0);
    CHECK(answer.response.status == 503);
    CHECK(answer.outcome == verdict::not_run);
    CHECK(answer.retry_after >= seconds{1});
    CHECK(it.take<open_link>().empty());
}

// Guards against a false "not run": an earlier exchange with the key may have run before the evacuation.
TEST_CASE("a call with a key is refused as unknown if its home cannot be asked", "[evacuation]") {
    evacuated_fixture it{1};
    it.evacuate({first_data_centre});
    it.call("POST", "key");
    const auto answer = it.take<answer_caller>().at(0);
    CHECK(answer.outcome == verdict::unknown);
    CHECK(answer.retry_after > duration::zero());
}

TEST_CASE("the keys of an evacuated target have another home", "[evacuation]") {
    evacuated_fixture it{2};
    it.evacuate({first_data_centre});
    for (int n = 0; n < 20; ++n) {
        const auto run = it.send_order("key-" + std::to_string(n));
        CHECK(it.peer_of(run) == second_target);
        it.answer_run(run, verdict::ran, refusal::none, 200);
    }
}

// Guards against attempts that are sent after the evacuation because they waited for a link.
TEST_CASE("an attempt that waits for a link chooses another target", "[evacuation]") {
    evacuated_fixture it{2};
    it.call("POST");
    const auto opening = it.take<open_link>().at(0);
    const bool is_first = opening.peer == first_target;
    it.evacuate({is_first ? first_data_centre : second_data_centre});
    CHECK(it.count(metric::rechoice) == 1);
    it.peers[opening.link] = opening.peer;
    it.entry.on_link_opened(opening.link);
    it.entry.on_message(opening.link, hello{opening.peer, incarnation{owner_incarnation}, {}, 3});
    it.entry.on_message(opening.link, it.load_of(opening.peer));
    it.open_links();

    const auto runs = it.sent<run_request>();
    REQUIRE(runs.size() == 1);
    CHECK(it.peer_of(runs[0]) == (is_first ? second_target : first_target));
}

TEST_CASE("an attempt that waits is refused at once if no other target is left", "[evacuation]") {
    evacuated_fixture it{2};
    it.call("GET");
    it.evacuate({first_data_centre, second_data_centre});
    const auto answer = it.take<answer_caller>().at(0);
    CHECK(answer.response.status == 503);
    CHECK(answer.outcome == verdict::not_run);
    CHECK(answer.retry_after >= seconds{1});
}

// Guards against lost answers: runs in progress complete.
TEST_CASE("the answer of a run that was sent before the evacuation is passed on", "[evacuation]") {
    evacuated_fixture it;
    const auto run = it.send("POST");
    it.evacuate({first_data_centre, second_data_centre, third_data_centre});
    CHECK(it.take<answer_caller>().empty());
    it.answer_run(run, verdict::ran, refusal::none, 201);
    CHECK(it.take<answer_caller>().at(0).response.status == 201);
}

// An entry without connection to the store learns of an evacuation only from the refusals of owners.
TEST_CASE("a call that an owner refuses for an evacuation goes to another data centre without a retry",
          "[evacuation]") {
    evacuated_fixture it;
    it.current_plan->services[0].targets[1].data_centre = first_data_centre;
    it.publish();
    it.outer_retry = true; // Such calls get no retries.
    std::size_t refused = 0;
    for (int n = 0; n < 60; ++n) {
        auto run = it.send(n % 2 == 0 ? "GET" : "POST");
        if (it.peer_of(run) != third_target) {
            ++refused;
            it.answer_run(run, verdict::not_run, refusal::evacuated);
            it.open_links();
            run = it.sent<run_request>().at(0);
        }
        // The second target of the data centre is not asked either.
        REQUIRE(it.peer_of(run) == third_target);
        it.answer_run(run, verdict::ran, refusal::none, 200);
        CHECK(it.take<answer_caller>().at(0).response.status == 200);
    }
    CHECK(refused > 10);
    for (const auto& record : it.take<record_event>()) {
        CHECK(record.record.number != event_number::target_ejected);
    }
    CHECK(it.count(metric::retry) == 0);
}

TEST_CASE("a call that all owners refuse for an evacuation ends at once", "[evacuation]") {
    evacuated_fixture it{2};
    auto run = it.send("POST");
    it.answer_run(run, verdict::not_run, refusal::evacuated);
    it.open_links();
    run = it.sent<run_request>().at(0);
    it.answer_run(run, verdict::not_run, refusal::evacuated);
    const auto answer = it.take<answer_caller>().at(0);
    CHECK(answer.response.status == 503);
    CHECK(answer.outcome == verdict::not_run);
    CHECK(answer.retry_after >= seconds{1});
}

TEST_CASE("no hedge goes to an evacuated data centre", "[evacuation]") {
    evacuated_fixture it{2};
    it.used_targets(200);
    const auto slow = it.send();
    const bool is_first = it.peer_of(slow) == first_target;
    it.evacuate({is_first ? second_data_centre : first_data_centre});
    it.advance(milliseconds{50});
    it.open_links();
    CHECK(it.sent<run_request>().empty());
    // Without the evacuation the same call is hedged.
    it.evacuate({});
    it.answer_run(slow, verdict::ran, refusal::none, 200);
    it.send();
    it.advance(milliseconds{50});
    it.open_links();
    CHECK(it.sent<run_request>().size() == 1);
}

TEST_CASE("no trial request goes to an evacuated data centre", "[evacuation]") {
    evacuated_fixture it;
    const auto serve = [&](int calls) {
        std::size_t sent_to_first = 0;
        for (int n = 0; n < calls; ++n) {
            it.call("GET");
            it.open_links();
            for (auto runs = it.sent<run_request>(); !runs.empty(); runs = it.sent<run_request>()) {
                const bool is_first = it.peer_of(runs[0]) == first_target;
                sent_to_first += is_first ? 1 : 0;
                it.answer_run(runs[0], is_first ? verdict::not_run : verdict::ran,
                              is_first ? refusal::server_down : refusal::none, is_first ? 0 : 200);
                it.open_links();
            }
        }
        return sent_to_first;
    };
    serve(60);
    it.advance(seconds{60});
    it.evacuate({first_data_centre});
    CHECK(serve(20) == 0);
    it.evacuate({});
    CHECK(serve(20) > 0);
}

// A suspected request is sent to a target that all entries choose from the whole service, not from subsets.
TEST_CASE("a suspected request does not go to an evacuated data centre", "[evacuation]") {
    for (const auto& data_centre : {first_data_centre, second_data_centre, third_data_centre}) {
        evacuated_fixture it;
        it.evacuate({data_centre});
        it.answer_run(it.send(), verdict::not_run, refusal::suspected);
        it.open_links();
        const auto runs = it.sent<run_request>();
        REQUIRE(runs.size() == 1);
        CHECK(runs[0].second.confined);
        CHECK(it.current_plan->find_target(it.peer_of(runs[0]))->data_centre != data_centre);
    }
}

// Guards against probes to a subset that was computed before the evacuation.
TEST_CASE("no probe goes to an evacuated data centre, without a further call either", "[evacuation]") {
    evacuated_fixture it{2};
    it.current_plan->services[0].measuring = rate{40};
    it.current_plan->services[0].tail_weight = 1;
    it.publish();
    const auto probed_targets = [&] {
        std::set<target_id> result;
        for (int n = 0; n < 40; ++n) {
            it.advance(milliseconds{10});
            it.open_links();
            for (const auto& [link, message] : it.sent<probe>()) {
                result.insert(it.peers.at(link));
                it.entry.on_message(link, it.load_of(it.peers.at(link)));
            }
        }
        return result;
    };
    it.answer_run(it.send(), verdict::ran, refusal::none, 200);
    CHECK(probed_targets() == std::set{first_target, second_target});
    it.evacuate({first_data_centre});
    CHECK(probed_targets() == std::set{second_target});
}

} // namespace cornelpier::test
