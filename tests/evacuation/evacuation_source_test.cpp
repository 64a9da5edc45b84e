#include "platform/evacuation_table.hpp"
#include "platform/relayed_changes.hpp"
#include "platform/watch_timing.hpp"
#include "tests/platform/support/source_documents.hpp"
#include "tests/platform/support/source_fleet.hpp"
#include "tests/platform/support/source_members.hpp"
#include "tests/process/support/becomes_true.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

namespace cornelpier::platform {

namespace {

using namespace std::chrono_literals;
using standins::store_refusal;
using test::becomes_true;
using test::propagation_limit;
using test::source_entry;
using test::source_entry_key;
using test::source_fleet;
using test::spare_data_centre;
using test::test_data_centre;

using data_centres = std::vector<std::string>;

/// Limit for a node to list the store.
constexpr auto start_time = 1s;

std::string key_of(const std::string& data_centre) {
    return evacuation_key(data_centre_id{data_centre});
}

/// A store with three nodes, which know each other.
class evacuated_fleet : public source_fleet {
  public:
    /// @param started number of nodes that run from the start.
    explicit evacuated_fleet(std::size_t started = 3) {
        for (const auto& it : members.nodes) {
            put(source_entry_key(it), source_entry(it, "ready"));
        }
        for (std::size_t n = 0; n < started; ++n) {
            start();
        }
    }

    /// Starts the next node and waits until it has published its first view.
    /// @return the evacuated data centres of that view.
    data_centres start() {
        nodes.push_back(&start_node(members.nodes.at(nodes.size())));
        const auto* node = nodes.back();
        REQUIRE(becomes_true(start_time, [&] { return node->plan_version() == 1; }));
        return node->evacuated();
    }

    [[nodiscard]] bool all_evacuate(const data_centres& expected) const {
        return std::ranges::all_of(nodes, [&](const auto* it) { return it->evacuated() == expected; });
    }

    /// @return whether all nodes evacuate exactly these data centres within the time for changes.
    [[nodiscard]] bool all_come_to_evacuate(const data_centres& expected) const {
        return becomes_true(propagation_limit, [&] { return all_evacuate(expected); });
    }

    /// @return whether all nodes evacuate exactly these data centres for a while.
    [[nodiscard]] bool all_keep_evacuating(const data_centres& expected,
                                           std::chrono::milliseconds time = propagation_limit) const {
        return !becomes_true(time, [&] { return !all_evacuate(expected); });
    }

    /// @return whether all nodes log the refusal of an evacuation within the time for changes.
    [[nodiscard]] bool all_log_refusals(std::size_t at_least) const {
        return becomes_true(propagation_limit, [&] {
            return std::ranges::all_of(nodes, [&](const auto* it) {
                return it->logged(event_number::evacuation_refused) >= at_least;
            });
        });
    }

    void refuse_all(store_refusal refusal) {
        for (const auto& it : members.nodes) {
            refuse(it, refusal);
        }
    }

    test::source_members members = test::find_members(3, [](const auto&) { return true; });
    std::vector<test::source_node*> nodes;
};

} // namespace

// Guards against a node that serves its first requests before it knows of the evacuation.
TEST_CASE("the first view of a node that starts during an evacuation contains it", "[evacuation]") {
    evacuated_fleet fleet{0};
    fleet.put(key_of(test_data_centre), "{}");
    for (int n = 0; n < 3; ++n) {
        CHECK(fleet.start() == data_centres{test_data_centre});
    }
}

// Guards against a view that a node makes up from the changes of other nodes before it has listed the store.
TEST_CASE("a node publishes nothing before its first listing", "[evacuation]") {
    const auto members = test::find_members(2, [](const auto&) { return true; });
    source_fleet fleet;
    fleet.put(key_of(test_data_centre), "{}");
    auto& peer = fleet.add_peer(members.nodes.front());
    auto& node = fleet.start_node(members.nodes.back(), store_refusal::unavailable);
    source_update update{target_id{members.nodes.front()}, 1, 1, {}, 1};
    update.changes = encode_relayed_changes({{"op/config", test::source_manifest(2)}});
    fleet.send(peer, members.nodes.back(), update);
    CHECK_FALSE(becomes_true(start_time, [&] { return node.plan_version() != 0; }));
    CHECK(node.logged(event_number::plan_accepted) == 1);
    fleet.refuse(members.nodes.back(), store_refusal::none);
    REQUIRE(becomes_true(propagation_limit, [&] { return node.plan_version() != 0; }));
    CHECK(node.evacuated() == data_centres{test_data_centre});
}

TEST_CASE("an evacuation comes into force and ends in time at all nodes", "[evacuation]") {
    evacuated_fleet fleet;
    fleet.put(key_of(test_data_centre), "{}");
    CHECK(fleet.all_come_to_evacuate({test_data_centre}));
    fleet.put(key_of(spare_data_centre), "{}");
    CHECK(fleet.all_come_to_evacuate({spare_data_centre, test_data_centre}));
    fleet.remove(key_of(test_data_centre));
    CHECK(fleet.all_come_to_evacuate({spare_data_centre}));
    fleet.remove(key_of(spare_data_centre));
    CHECK(fleet.all_come_to_evacuate({}));
}

// Guards against nodes that learn of an evacuation only from the store, which has a price, or not at all.
TEST_CASE("an evacuation reaches the nodes that the store refuses", "[evacuation]") {
    evacuated_fleet fleet;
    for (const auto& it : fleet.members.nodes) {
        if (it != fleet.members.reader) {
            fleet.refuse(it, store_refusal::unavailable);
        }
    }
    fleet.put(key_of(test_data_centre), "{}");
    CHECK(fleet.all_come_to_evacuate({test_data_centre}));
    fleet.remove(key_of(test_data_centre));
    CHECK(fleet.all_come_to_evacuate({}));
}

// Guards against digests that differ for good: every node would then read the store.
TEST_CASE("nodes confirm each other during an evacuation, a restarted one as well", "[evacuation]") {
    evacuated_fleet fleet{2};
    fleet.put(key_of(test_data_centre), "{}");
    fleet.put(key_of("unknown"), "{}");
    CHECK(fleet.all_come_to_evacuate({test_data_centre}));
    CHECK(fleet.start() == data_centres{test_data_centre});
    std::this_thread::sleep_for(propagation_limit);

    constexpr auto observed = 4s;
    const auto before = fleet.store_calls();
    std::this_thread::sleep_for(observed);
    const auto timing = watch_timing_for(propagation_limit);
    const auto reader_calls = observed / (timing.pause + timing.max_wait) + 1;
    CHECK(static_cast<std::int64_t>(fleet.store_calls() - before) <= reader_calls + 1);
}

TEST_CASE("the last known evacuations stay while the store is away", "[evacuation]") {
    evacuated_fleet fleet;
    fleet.put(key_of(test_data_centre), "{}");
    REQUIRE(fleet.all_come_to_evacuate({test_data_centre}));
    fleet.refuse_all(store_refusal::unavailable);
    fleet.remove(key_of(test_data_centre));
    fleet.put(key_of(spare_data_centre), "{}");
    // A watch that was pending when the store began to refuse may still return changes.
    std::this_thread::sleep_for(propagation_limit);
    const auto known = fleet.nodes.front()->evacuated();
    fleet.put(key_of(test_data_centre), "{}");
    fleet.remove(key_of(spare_data_centre));
    CHECK(fleet.all_keep_evacuating(known));
    fleet.refuse_all(store_refusal::none);
    CHECK(fleet.all_come_to_evacuate({test_data_centre}));
}

TEST_CASE("an evacuation that an older copy lacks stays for 10 s unless it is written again",
          "[evacuation]") {
    evacuated_fleet fleet;
    fleet.save_copy();
    fleet.put(key_of(test_data_centre), "{}");
    fleet.put(key_of(spare_data_centre), "{}");
    REQUIRE(fleet.all_come_to_evacuate({spare_data_centre, test_data_centre}));
    const auto restored_at = std::chrono::steady_clock::now();
    fleet.restore_copy();
    CHECK(fleet.all_keep_evacuating({spare_data_centre, test_data_centre}, 5s));
    fleet.put(key_of(test_data_centre), "{}");
    const auto left = restored_at + evacuation_table::copy_settling_time - std::chrono::steady_clock::now();
    CHECK(fleet.all_keep_evacuating({spare_data_centre, test_data_centre},
                                    std::chrono::duration_cast<std::chrono::milliseconds>(left)));
    CHECK(fleet.all_come_to_evacuate({test_data_centre}));
    CHECK(fleet.all_keep_evacuating({test_data_centre}));
}

// Guards against requests to a data centre whose servers the operator believes evacuated again.
TEST_CASE("a withdrawn evacuation that reappears in an older copy is in force", "[evacuation]") {
    evacuated_fleet fleet;
    fleet.put(key_of(test_data_centre), "{}");
    REQUIRE(fleet.all_come_to_evacuate({test_data_centre}));
    fleet.save_copy();
    fleet.remove(key_of(test_data_centre));
    REQUIRE(fleet.all_come_to_evacuate({}));
    fleet.restore_copy();
    CHECK(fleet.all_come_to_evacuate({test_data_centre}));
    fleet.remove(key_of(test_data_centre));
    CHECK(fleet.all_come_to_evacuate({}));
}

TEST_CASE("an unknown data centre is refused until a server is listed there", "[evacuation]") {
    evacuated_fleet fleet;
    const std::string host = test::loopback_address(77);
    fleet.put(key_of("x"), "{}");
    CHECK(fleet.all_log_refusals(1));
    CHECK(fleet.all_evacuate({}));
    fleet.put(source_entry_key(host), source_entry(host, "ready", "x"));
    CHECK(fleet.all_come_to_evacuate({"x"}));
    // The servers may all be stopped during the evacuation.
    fleet.remove(source_entry_key(host));
    CHECK(becomes_true(propagation_limit, [&] {
        return std::ranges::all_of(fleet.nodes,
                                   [&](const auto* it) { return it->state_of(host) == vm_state::unlisted; });
    }));
    CHECK(fleet.all_evacuate({"x"}));
}

TEST_CASE("a value that cannot be read changes no evacuation", "[evacuation]") {
    evacuated_fleet fleet{1};
    fleet.put(key_of(test_data_centre), "{}");
    REQUIRE(fleet.all_come_to_evacuate({test_data_centre}));
    fleet.put(key_of(test_data_centre), "nonsense");
    fleet.put(key_of(spare_data_centre), "[]");
    CHECK(fleet.all_log_refusals(2));
    CHECK(fleet.all_evacuate({test_data_centre}));
}

TEST_CASE("too many evacuations are refused", "[evacuation]") {
    evacuated_fleet fleet{1};
    fleet.put(key_of(test_data_centre), "{}");
    REQUIRE(fleet.all_come_to_evacuate({test_data_centre}));
    for (std::size_t n = 1; n < max_evacuated_data_centres; ++n) {
        fleet.put(key_of("a" + std::to_string(n)), "{}");
    }
    CHECK(fleet.all_log_refusals(max_evacuated_data_centres - 1));
    fleet.put(key_of(spare_data_centre), "{}");
    CHECK(fleet.all_log_refusals(max_evacuated_data_centres));
    CHECK(fleet.all_evacuate({test_data_centre}));
}

} // namespace cornelpier::platform
