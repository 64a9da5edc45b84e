#include "tests/entry/entry_fixture.hpp"

#include <catch2/catch.hpp>

#include <set>

namespace cornelpier::test {

namespace {

constexpr duration far_delay = milliseconds{5};

entry_options priced_options() {
    entry_options options;
    options.probes = false;
    options.slow_start = false;
    options.locality = {milliseconds{100}, milliseconds{6}};
    return options;
}

/// Entry in dc-1 with one near target (shop-1) and the others far away in dc-2.
class spill_entry : public entry_fixture {
  public:
    explicit spill_entry(std::size_t targets = 2) : entry_fixture(targets, priced_options()) {
        for (auto& it : current_plan->services[0].targets) {
            it.data_centre = data_centre_id{it.id.value() == "shop-1" ? "dc-1" : "dc-2"};
        }
        publish();
        // A first call per target opens the links, so that the round trips are known.
        for (std::size_t i = 0; i < targets; ++i) {
            call("GET");
        }
        open_far_links();
        for (const auto& run : sent<run_request>()) {
            answer_with_size(run, 200);
        }
        actions.clear();
    }

    /// Opens the links of all targets; far ones answer after a round trip of 10 ms.
    void open_far_links() {
        for (const auto& it : take<open_link>()) {
            peers[it.link] = it.peer;
            entry.on_link_opened(it.link);
            advance_round_trip(it.link);
            entry.on_message(it.link, hello{it.peer, incarnation{owner_incarnation}, {}, 3});
            entry.on_message(it.link, load_of(it.peer));
        }
    }

    void advance_round_trip(link_id link) {
        if (peers[link].value() != "shop-1") {
            advance(2 * far_delay);
        }
    }

    void answer_with_size(const std::pair<link_id, run_request>& it, std::size_t bytes) {
        advance_round_trip(it.first);
        run_response reply;
        reply.attempt = it.second.attempt;
        reply.outcome = verdict::ran;
        reply.response = http_response{200, {}, make_body(std::string(bytes, 'x'))};
        reply.load = load_of(peers[it.first]);
        entry.on_message(it.first, reply);
    }

    /// Sets the expected wait that the near target reports.
    void set_near_wait(duration wait) {
        for (const auto& [link, target] : peers) {
            auto load = load_of(target);
            load.expected_wait = target.value() == "shop-1" ? wait : duration::zero();
            entry.on_message(link, load);
        }
    }

    /// Makes calls, each answered with a body of this size.
    /// @return how many of them were sent to a far target.
    std::size_t far_calls(std::size_t calls, std::size_t bytes, duration near_wait) {
        std::size_t far = 0;
        for (std::size_t i = 0; i < calls; ++i) {
            set_near_wait(near_wait);
            call("GET");
            open_far_links();
            for (const auto& run : sent<run_request>()) {
                far += peers[run.first].value() == "shop-1" ? 0 : 1;
                answer_with_size(run, bytes);
            }
        }
        return far;
    }
};

} // namespace

// Guards against bytes between data centres that save their callers nothing.
TEST_CASE("calls stay in the data centre while its targets have room", "[entry][locality]") {
    spill_entry it;
    CHECK(it.far_calls(50, 200, milliseconds{0}) == 0);
}

// Guards against callers that wait although a far data centre has room, and against one price for all sizes.
TEST_CASE("small exchanges leave a crowded data centre, large ones stay", "[entry][locality]") {
    spill_entry small;
    CHECK(small.far_calls(100, 200, milliseconds{900}) > 30);
    spill_entry large;
    large.far_calls(20, 60'000, milliseconds{0});
    large.far_calls(1, 60'000, milliseconds{900});
    CHECK(large.far_calls(100, 60'000, milliseconds{900}) == 0);
}

// Guards against a price that keeps calls from the only targets that are left.
TEST_CASE("without a usable target nearby all calls leave", "[entry][locality]") {
    spill_entry it;
    it.vm_states[target_id{"shop-1"}] = vm_state::leaving;
    it.publish();
    CHECK(it.far_calls(10, 60'000, milliseconds{0}) == 10);
}

// Guards against a crowded data centre that occupies its neighbour with offers which are refused.
TEST_CASE("refusals by far owners reduce the offers", "[entry][locality]") {
    spill_entry it;
    it.far_calls(10, 200, milliseconds{900});
    std::size_t offers = 0;
    for (int i = 0; i < 200; ++i) {
        it.set_near_wait(milliseconds{900});
        it.call("GET");
        for (auto runs = it.sent<run_request>(); !runs.empty(); runs = it.sent<run_request>()) {
            for (const auto& run : runs) {
                const bool is_far = it.peers[run.first].value() != "shop-1";
                CHECK(run.second.spilled == is_far);
                if (is_far) {
                    ++offers;
                    it.advance_round_trip(run.first);
                    it.answer_run(run, verdict::not_run, refusal::wait_limit);
                } else {
                    it.answer_with_size(run, 200);
                }
            }
        }
    }
    CHECK(offers > 0);
    CHECK(offers < 40);
}

// Guards against the ejection of nearly all near targets because far ones count as their replacement.
TEST_CASE("at most a third of the near targets is ejected", "[entry][locality]") {
    spill_entry it(9);
    for (auto& target : it.current_plan->services[0].targets) {
        target.data_centre = data_centre_id{target.id.value() > "shop-3" ? "dc-2" : "dc-1"};
    }
    it.publish();
    for (int i = 0; i < 200; ++i) {
        it.call("GET");
        it.open_far_links();
        for (const auto& run : it.sent<run_request>()) {
            it.advance_round_trip(run.first);
            it.answer_run(run, verdict::not_run, refusal::server_refused);
        }
    }
    std::set<std::string> ejected;
    for (const auto& event : it.take<record_event>()) {
        if (event.record.number == event_number::target_ejected) {
            ejected.insert(event.record.fields.front().second);
        }
    }
    CHECK(std::ranges::count_if(ejected, [](const std::string& name) { return name <= "shop-3"; }) == 1);
}

} // namespace cornelpier::test
