#include "cornelpier/membership/member.hpp"

#include "control_fleet.hpp"

#include <catch2/catch.hpp>

namespace cornelpier {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Three data centres with ten nodes each, after plan 1 is in force on all of them.
struct settled_fleet : control_fleet {
    settled_fleet() : control_fleet{3} {
        serve(1, fleet_sheet(1, 30, 3));
        start_all(30);
        run_for(seconds{20});
        REQUIRE(in_force(1));
    }
};

std::optional<duration> age_of(const control_fleet& fleet, std::size_t n, const std::string& id) {
    for (const auto& it : fleet.nodes[n].core->snapshot(fleet.now).members) {
        if (it.target == target_id{id}) {
            return it.age;
        }
    }
    return std::nullopt;
}

bool has_action_kind(const control_actions& actions, std::size_t index) {
    return std::ranges::any_of(actions, [&](const auto& it) { return it.index() == index; });
}

constexpr std::size_t read_plan_index = 1;
constexpr std::size_t publish_index = 3;

node_identity single_node_identity(std::vector<seed_peer> seeds) {
    return {target_id{"target-0"},  incarnation{5}, vm_id{"vm-0"},
            data_centre_id{"dc-0"}, service_id{},   seeds};
}

gossip gossip_from(const std::string& from, std::uint64_t process, plan_digest digest,
                   std::vector<member_record> members = {}) {
    return {target_id{from}, incarnation{process}, digest, unknown_age, std::move(members), true, 1};
}

} // namespace

TEST_CASE("a new node learns the plan from peers while the service is down", "[control]") {
    settled_fleet fleet;
    fleet.service_up = false;
    fleet.start(4, {5, 6, 7});
    CHECK(fleet.run_until([&] { return fleet.in_force(1); }, seconds{1}));
    CHECK(fleet.nodes[4].reads == 0);
}

TEST_CASE("a new node whose service is stale publishes the newer plan of its peers alone", "[control]") {
    settled_fleet fleet;
    fleet.serve(2, fleet_sheet(2, 30, 3));
    REQUIRE(fleet.run_until([&] { return fleet.in_force(2); }, seconds{3}));
    fleet.serve(1, fleet_sheet(1, 30, 3));

    // Two of the three seeds are down, so that the plan comes from the third.
    fleet.nodes[5].alive = false;
    fleet.nodes[6].alive = false;
    fleet.start(4, {5, 6, 7});
    fleet.run_for(seconds{90});
    CHECK(fleet.nodes[4].published == std::vector<std::uint64_t>{2});
    CHECK(fleet.nodes[0].published == std::vector<std::uint64_t>{1, 2});

    std::size_t refusals = 0;
    for (std::size_t n = 0; n < 30; ++n) {
        refusals = std::max(refusals, fleet.count_events(n, event_number::plan_refused_older));
    }
    CHECK(refusals >= 1);
    CHECK(refusals <= 10);
}

TEST_CASE("without peers and service a node publishes nothing and keeps trying", "[control]") {
    control_fleet fleet{3};
    fleet.service_up = false;
    fleet.start(0, {1, 2});
    fleet.run_for(seconds{60});
    CHECK(fleet.nodes[0].published.empty());
    CHECK(fleet.nodes[0].reads >= 6);
    CHECK(fleet.count_events(0, event_number::configuration_unreachable) <= 7);

    fleet.service_up = true;
    fleet.serve(1, fleet_sheet(1, 3, 3));
    CHECK(fleet.run_until([&] { return !fleet.nodes[0].published.empty(); }, seconds{11}));
}

TEST_CASE("a data centre whose readers died gets new ones within seconds", "[control]") {
    settled_fleet fleet;
    REQUIRE(fleet.readers(1) == 3);
    for (std::size_t n = 1; n < 30; n += 3) {
        fleet.nodes[n].alive = !fleet.nodes[n].core->snapshot(fleet.now).reader;
    }
    CHECK(fleet.readers(1) == 0);
    CHECK(fleet.run_until([&] { return fleet.readers(1) == 3; }, seconds{8}));
    CHECK(fleet.readers(0) == 3);
}

TEST_CASE("each side of a partitioned data centre elects readers, and one group remains after the partition",
          "[control]") {
    settled_fleet fleet;
    for (std::size_t n = 0; n < 30; ++n) {
        fleet.nodes[n].partition = n < 15 ? 0 : 1;
    }
    fleet.run_for(seconds{25});
    for (std::size_t it = 0; it < 3; ++it) {
        CHECK(fleet.readers(it, 0) == 3);
        CHECK(fleet.readers(it, 1) == 3);
    }

    for (auto& it : fleet.nodes) {
        it.partition = 0;
    }
    fleet.run_for(seconds{15});
    CHECK(fleet.readers(0) == 3);
}

TEST_CASE("a node that reaches no peer reads the service itself", "[control]") {
    settled_fleet fleet;
    for (std::size_t n = 1; n < 30; ++n) {
        fleet.nodes[n].alive = false;
    }
    fleet.nodes[0].reads = 0;
    fleet.serve(2, fleet_sheet(2, 30, 3));
    CHECK(fleet.run_until([&] { return fleet.nodes[0].published.back() == 2; }, seconds{40}));
}

TEST_CASE("fallback reads of a fleet whose service is down stay rare", "[control]") {
    settled_fleet fleet;
    fleet.service_up = false;
    fleet.run_for(seconds{180});
    fleet.reads = 0;
    fleet.run_for(seconds{60});
    // 9 readers with up to 8 s between reads and 21 others with up to 60 s.
    CHECK(fleet.reads / 60.0 < 9 / 4.0 + 21 / 30.0);
}

TEST_CASE("two contents of one version: each node keeps its first and reports the conflict once",
          "[control]") {
    control_fleet fleet{3};
    const std::string one = fleet_sheet(1, 6, 3);
    fleet.start_all(6);
    for (std::size_t n = 0; n < 6; ++n) {
        fleet.run_for(milliseconds{1});
        fleet.deliver(
            n, control_message_received{plan_push{target_id{"target-9"}, n == 0 ? one + " " : one}, {}});
    }
    fleet.run_for(seconds{30});
    for (std::size_t n = 0; n < 6; ++n) {
        CHECK(fleet.nodes[n].core->snapshot(fleet.now).conflict);
        CHECK(fleet.count_events(n, event_number::plan_refused_conflict) == 1);
    }
    CHECK(fleet.nodes[0].view->current_plan->sheet.size() == one.size() + 1);

    fleet.serve(2, fleet_sheet(2, 6, 3));
    CHECK(fleet.run_until([&] { return fleet.in_force(2); }, seconds{15}));
    CHECK_FALSE(fleet.nodes[0].core->snapshot(fleet.now).conflict);
}

TEST_CASE("targets that join the plan become peers at once, those that leave are forgotten", "[control]") {
    settled_fleet fleet;
    fleet.start(30, {0});
    fleet.serve(2, fleet_sheet(2, 31, 3));
    CHECK(fleet.run_until([&] { return age_of(fleet, 2, "target-30") < std::optional{duration{seconds{5}}}; },
                          seconds{8}));

    fleet.serve(3, fleet_sheet(3, 29, 3));
    fleet.run_for(seconds{30});
    CHECK(age_of(fleet, 2, "target-29"));
    fleet.run_for(seconds{40});
    CHECK_FALSE(age_of(fleet, 2, "target-29"));
    CHECK_FALSE(fleet.nodes[2].view->node_states.contains(target_id{"target-29"}));
}

TEST_CASE("a silent member is reported as stale but kept, and a restart is noticed", "[control]") {
    settled_fleet fleet;
    fleet.nodes[9].alive = false;
    fleet.run_for(seconds{45});
    CHECK(fleet.nodes[2].core->snapshot(fleet.now).stale_members == std::vector{target_id{"target-9"}});

    fleet.start(9, {2, 3, 4});
    fleet.run_for(seconds{10});
    CHECK(fleet.nodes[2].core->snapshot(fleet.now).stale_members.empty());
    CHECK(fleet.count_events(2, event_number::member_restarted) == 1);
}

TEST_CASE("a leaving VM and a draining node are known everywhere within seconds", "[control]") {
    settled_fleet fleet;
    fleet.vms = {{vm_id{"vm-7"}, vm_state::leaving}};
    const auto known_at_own_node = [&] {
        return fleet.nodes[7].view->vm_states.contains(target_id{"target-7"});
    };
    CHECK(fleet.run_until(known_at_own_node, milliseconds{2500}));

    fleet.deliver(8, own_state_changed{node_state::draining});
    const auto known_at_all_nodes = [&] {
        return std::ranges::all_of(fleet.nodes, [](const auto& it) {
            const auto vm = it.view->vm_states.find(target_id{"target-7"});
            const auto state = it.view->node_states.find(target_id{"target-8"});
            return vm != it.view->vm_states.end() && vm->second == vm_state::leaving &&
                   state != it.view->node_states.end() && state->second == node_state::draining;
        });
    };
    CHECK(fleet.run_until(known_at_all_nodes, seconds{4}));
}

TEST_CASE("after a pause a node acts on nothing before its peers replied", "[control]") {
    settled_fleet fleet;
    const auto reader = [&] {
        for (std::size_t n = 0;; ++n) {
            if (fleet.nodes[n].core->snapshot(fleet.now).reader) {
                return n;
            }
        }
    }();
    auto& core = *fleet.nodes[reader].core;
    const auto before = *age_of(fleet, reader, reader == 2 ? "target-3" : "target-2");

    control_actions actions;
    core.handle(clock_gap{seconds{600}}, fleet.now, actions);
    CHECK(actions.size() == 3);
    CHECK(*age_of(fleet, reader, reader == 2 ? "target-3" : "target-2") >= before + seconds{600});

    // A sheet and a message that were queued during the pause.
    actions.clear();
    core.handle(plan_read{fleet_sheet(2, 30, 3)}, fleet.now, actions);
    core.handle(control_message_received{gossip_from("target-29", 99, {7, 7}), {}}, fleet.now, actions);
    CHECK(actions.empty());
    CHECK(core.snapshot(fleet.now).digest.version == 1);

    fleet.nodes[reader].events.clear();
    fleet.deliver(reader, own_state_changed{node_state::serving});
    fleet.run_for(seconds{2});
    CHECK(age_of(fleet, reader, "target-29") < std::optional{duration{seconds{700}}});
    CHECK(fleet.nodes[reader].published == std::vector<std::uint64_t>{1});
}

TEST_CASE("a gap that the monotonic clock counted does not make ages grow twice", "[control]") {
    const time_point start{seconds{50}};
    control_core core{single_node_identity({{target_id{"target-1"}, "10.0.0.1:7100"}}), 3, start};
    control_actions actions;
    core.advance(start, actions);
    core.handle(control_message_received{gossip_from("target-1", 9, {}), {}}, start, actions);
    core.handle(clock_gap{seconds{20}}, start + seconds{20}, actions);

    const auto members = core.snapshot(start + seconds{20}).members;
    CHECK(members.at(1).age == seconds{20});
}

TEST_CASE("the start asks three seeds and reads the service only after a second", "[control]") {
    const time_point start{seconds{50}};
    control_core core{single_node_identity({{target_id{"target-1"}, "a"},
                                            {target_id{"target-2"}, "b"},
                                            {target_id{"target-3"}, "c"},
                                            {target_id{"target-4"}, "d"}}),
                      3, start};
    control_actions actions;
    core.advance(start, actions);
    CHECK(actions.size() == 3);
    core.advance(start + milliseconds{999}, actions);
    CHECK_FALSE(has_action_kind(actions, read_plan_index));
    CHECK(core.next_due() <= start + seconds{1});
    core.advance(start + seconds{1}, actions);
    CHECK(has_action_kind(actions, read_plan_index));
    CHECK_FALSE(has_action_kind(actions, publish_index));
}

} // namespace cornelpier
