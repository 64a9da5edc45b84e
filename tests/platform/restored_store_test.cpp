#include "platform/relayed_changes.hpp"
#include "platform/watch_timing.hpp"
#include "tests/platform/support/source_documents.hpp"
#include "tests/platform/support/source_fleet.hpp"
#include "tests/platform/support/source_members.hpp"
#include "tests/process/support/becomes_true.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <thread>

namespace cornelpier::platform {

namespace {

using namespace std::chrono_literals;
using test::becomes_true;
using test::propagation_limit;
using test::source_entry;
using test::source_entry_key;
using test::source_fleet;
using test::source_manifest;

constexpr const char* manifest_key = "op/config";

/// Limit for a node to list the store.
constexpr auto start_time = 1s;

/// Time for which servers whose entries were lost may take to register again.
constexpr auto re_registration_time = 2s;

/// Nodes that know each other from the store.
std::vector<test::source_node*> start_registered(source_fleet& fleet,
                                                 const std::vector<std::string>& addresses) {
    for (const auto& it : addresses) {
        fleet.put(source_entry_key(it), source_entry(it, "ready"));
    }
    std::vector<test::source_node*> nodes;
    for (const auto& it : addresses) {
        nodes.push_back(&fleet.start_node(it));
    }
    return nodes;
}

bool all_have_version(const std::vector<test::source_node*>& nodes, std::uint64_t version) {
    return std::ranges::all_of(nodes, [&](const auto* it) { return it->plan_version() == version; });
}

} // namespace

TEST_CASE("a plan that is confirmed at a revision given out again is in force in time",
          "[platform][restored]") {
    const auto members = test::find_members(3, [](const auto&) { return true; });
    // The store then stands above, at and below the revision that the nodes know.
    for (const int lost : {1, 2, 3}) {
        source_fleet fleet;
        const auto nodes = start_registered(fleet, members.nodes);
        REQUIRE(becomes_true(start_time, [&] { return all_have_version(nodes, 1); }));
        fleet.save_copy();
        int version = 1;
        for (int n = 0; n < lost; ++n) {
            fleet.put(manifest_key, source_manifest(++version));
        }
        REQUIRE(becomes_true(propagation_limit, [&] { return all_have_version(nodes, version); }));

        fleet.restore_copy({{manifest_key, source_manifest(version + 1)}, {"op/other", "x"}});
        CHECK(becomes_true(propagation_limit, [&] { return all_have_version(nodes, version + 1); }));
        fleet.put(manifest_key, source_manifest(version + 2));
        CHECK(becomes_true(propagation_limit, [&] { return all_have_version(nodes, version + 2); }));
    }
}

TEST_CASE("a plan is in force in time at nodes that restart around the restore", "[platform][restored]") {
    const auto members = test::find_members(3, [](const auto& it) { return it.reader == it.nodes.back(); });
    source_fleet fleet;
    auto nodes = start_registered(fleet, {members.nodes.front(), members.nodes[1]});
    fleet.put(source_entry_key(members.reader), source_entry(members.reader, "ready"));
    REQUIRE(becomes_true(start_time, [&] { return all_have_version(nodes, 1); }));
    fleet.save_copy();
    // Does not change what the nodes publish, so that a node of either era finds its state confirmed.
    fleet.put("op/other", "x");
    std::this_thread::sleep_for(propagation_limit);

    fleet.restore_copy();
    nodes.push_back(&fleet.start_node(members.reader));
    REQUIRE(becomes_true(start_time, [&] { return all_have_version(nodes, 1); }));
    std::this_thread::sleep_for(propagation_limit);
    fleet.put(manifest_key, source_manifest(2));
    CHECK(becomes_true(propagation_limit, [&] { return all_have_version(nodes, 2); }));
}

TEST_CASE("a restored store does not take back a plan", "[platform][restored]") {
    const auto members = test::find_members(2, [](const auto&) { return true; });
    source_fleet fleet;
    const auto nodes = start_registered(fleet, members.nodes);
    REQUIRE(becomes_true(start_time, [&] { return all_have_version(nodes, 1); }));
    fleet.save_copy();
    fleet.put(manifest_key, source_manifest(2));
    REQUIRE(becomes_true(propagation_limit, [&] { return all_have_version(nodes, 2); }));
    fleet.restore_copy();
    CHECK_FALSE(becomes_true(propagation_limit, [&] { return !all_have_version(nodes, 2); }));
}

TEST_CASE("a server that has left is not used again when the store returns from a copy",
          "[platform][restored]") {
    const auto members = test::find_members(2, [](const auto&) { return true; });
    const std::string leaving = test::loopback_address(77);
    source_fleet fleet;
    fleet.put(source_entry_key(leaving), source_entry(leaving, "ready"));
    const auto nodes = start_registered(fleet, members.nodes);
    const auto all_see = [&](vm_state state) {
        return std::ranges::all_of(nodes, [&](const auto* it) { return it->state_of(leaving) == state; });
    };
    REQUIRE(becomes_true(start_time, [&] { return all_see(vm_state::live); }));
    fleet.save_copy();
    fleet.remove(source_entry_key(leaving));
    REQUIRE(becomes_true(propagation_limit, [&] { return all_see(vm_state::unlisted); }));
    fleet.restore_copy();
    CHECK_FALSE(becomes_true(propagation_limit, [&] { return !all_see(vm_state::unlisted); }));
}

TEST_CASE("a server whose entry the copy lacks stays in use while it registers again",
          "[platform][restored]") {
    const auto members = test::find_members(2, [](const auto&) { return true; });
    const std::string added = test::loopback_address(77);
    source_fleet fleet;
    const auto nodes = start_registered(fleet, members.nodes);
    REQUIRE(becomes_true(start_time, [&] { return all_have_version(nodes, 1); }));
    fleet.save_copy();
    fleet.put(source_entry_key(added), source_entry(added, "ready"));
    const auto all_use_it = [&] {
        return std::ranges::all_of(nodes,
                                   [&](const auto* it) { return it->state_of(added) == vm_state::live; });
    };
    REQUIRE(becomes_true(propagation_limit, all_use_it));
    fleet.restore_copy();
    CHECK_FALSE(becomes_true(re_registration_time - 500ms, [&] { return !all_use_it(); }));
    fleet.put(source_entry_key(added), source_entry(added, "ready"));
    CHECK_FALSE(becomes_true(re_registration_time, [&] { return !all_use_it(); }));

    // One that does not register again has left.
    fleet.restore_copy();
    CHECK(becomes_true(re_registration_time + propagation_limit, [&] {
        return std::ranges::none_of(nodes,
                                    [&](const auto* it) { return it->state_of(added) == vm_state::live; });
    }));
}

TEST_CASE("an update of an era that the store has not reached does not make a node list it without a pause",
          "[platform][restored]") {
    const auto members = test::find_members(2, [](const auto& it) { return it.reader == it.nodes.front(); });
    const std::string peer_address = members.nodes.back();
    source_fleet fleet;
    auto& peer = fleet.add_peer(peer_address);
    fleet.put(source_entry_key(peer_address), source_entry(peer_address, "ready"));
    const auto nodes = start_registered(fleet, {members.reader});
    REQUIRE(becomes_true(start_time, [&] { return all_have_version(nodes, 1); }));

    source_update update{target_id{peer_address}, 1000, 1, {}, 99};
    update.changes = encode_relayed_changes({{"op/other", "x"}});
    fleet.send(peer, members.reader, update);
    const auto before = fleet.store_calls();
    std::this_thread::sleep_for(2s);
    const auto calls = static_cast<std::int64_t>(fleet.store_calls() - before);
    CHECK(calls <= 2 * 2s / watch_timing_for(propagation_limit).pause);
    fleet.put(manifest_key, source_manifest(2));
    CHECK(becomes_true(propagation_limit, [&] { return all_have_version(nodes, 2); }));
}

} // namespace cornelpier::platform
