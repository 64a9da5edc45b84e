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

/// How long before its first own read after the listing a new node is registered.
constexpr auto registration_lead = 500ms;

/// Limit for a node to list the store, or for a waiting reader to relay a change.
constexpr auto start_time = 1s;

/// Between two batches of changes; shorter than the silence timeout.
constexpr auto batch_interval = 300ms;

/// Time for a change to be read and relayed after it has been batched.
constexpr auto relay_time = 300ms;

/// A later position than any that the store of a test reaches.
constexpr revision later_position = 1000;

/// The first position of a store.
constexpr revision earlier_position = 1;

bool received_change_of(const test::update_peer& peer, const std::string& key) {
    return std::ranges::any_of(peer.received(), [&](const source_update& update) {
        const auto changes = decode_relayed_changes(update.changes);
        return changes && std::ranges::any_of(*changes, [&](const auto& it) { return it.key == key; });
    });
}

} // namespace

TEST_CASE("changes are in force in time while a node that just started becomes the reader",
          "[platform][drain]") {
    const auto members = test::find_members(7, [](const auto& it) { return !it.is_relay(it.reader); });
    std::vector<std::string> registered = members.nodes;
    std::erase(registered, members.reader);
    const std::string leaving = registered.back();

    source_fleet fleet;
    fleet.register_all(registered);
    std::vector<test::source_node*> nodes;
    for (const auto& it : registered) {
        nodes.push_back(&fleet.start_node(it));
    }
    auto& new_reader = fleet.start_node(members.reader);
    nodes.push_back(&new_reader);
    REQUIRE(becomes_true(start_time, [&] { return new_reader.plan_version() == 1; }));
    std::this_thread::sleep_for(watch_timing_for(propagation_limit).silence_timeout - registration_lead);

    fleet.put(source_entry_key(members.reader), source_entry(members.reader, "ready"));
    REQUIRE(
        becomes_true(start_time, [&] { return nodes.front()->state_of(members.reader) == vm_state::live; }));
    fleet.put(source_entry_key(leaving), source_entry(leaving, "draining"));

    const auto end = std::chrono::steady_clock::now() + propagation_limit;
    bool in_force = false;
    for (int version = 2; !in_force && std::chrono::steady_clock::now() < end; ++version) {
        fleet.put("op/config", test::source_manifest(version));
        in_force = becomes_true(batch_interval, [&] {
            return std::ranges::all_of(
                nodes, [&](const auto* it) { return it->state_of(leaving) == vm_state::leaving; });
        });
    }
    CHECK(in_force);
}

TEST_CASE("a node that becomes the reader sends the changes of the same response", "[platform][drain]") {
    const auto members = test::find_members(2, [](const auto& it) { return it.reader == it.nodes.front(); });
    const std::string peer_address = members.nodes.back();

    source_fleet fleet;
    fleet.put(source_entry_key(peer_address), source_entry(peer_address, "ready"));
    auto& peer = fleet.add_peer(peer_address);
    auto& node = fleet.start_node(members.reader);
    REQUIRE(becomes_true(start_time, [&] { return node.plan_version() == 1; }));

    fleet.put(source_entry_key(members.reader), source_entry(members.reader, "ready"));
    fleet.put(source_entry_key(peer_address), source_entry(peer_address, "draining"));
    REQUIRE(
        becomes_true(propagation_limit, [&] { return node.state_of(peer_address) == vm_state::leaving; }));
    CHECK(becomes_true(relay_time, [&] { return received_change_of(peer, source_entry_key(peer_address)); }));
}

TEST_CASE("a node that becomes the reader does not wait for its silence timeout", "[platform][drain]") {
    const auto members = test::find_members(2, [](const auto& it) {
        return it.reader == it.nodes.back() && it.relays == std::vector{it.reader};
    });
    const std::string first_reader = members.nodes.front();

    source_fleet fleet;
    fleet.put(source_entry_key(first_reader), source_entry(first_reader, "ready"));
    auto& first_node = fleet.start_node(first_reader);
    auto& new_reader = fleet.start_node(members.reader);
    REQUIRE(becomes_true(start_time, [&] { return new_reader.plan_version() == 1; }));

    fleet.put(source_entry_key(members.reader), source_entry(members.reader, "ready"));
    REQUIRE(becomes_true(start_time, [&] { return first_node.state_of(members.reader) == vm_state::live; }));
    fleet.put(source_entry_key(first_reader), source_entry(first_reader, "draining"));
    CHECK(becomes_true(
        std::chrono::duration_cast<std::chrono::milliseconds>(watch_timing_for(propagation_limit).pause) +
            relay_time,
        [&] { return new_reader.state_of(first_reader) == vm_state::leaving; }));
}

TEST_CASE("relays that missed the same change do not confirm each other", "[platform][drain]") {
    const auto members = test::find_members(7, [](const auto& it) { return !it.is_relay(it.reader); });
    const std::string leaving = members.reader;

    source_fleet fleet;
    fleet.register_all(members.nodes);
    auto& reader = fleet.add_peer(members.reader);
    std::vector<test::source_node*> relays;
    for (const auto& it : members.relays) {
        relays.push_back(&fleet.start_node(it));
    }
    const auto each_relay = [&](const auto& condition) { return std::ranges::all_of(relays, condition); };
    REQUIRE(becomes_true(start_time,
                         [&] { return each_relay([](const auto* it) { return it->plan_version() == 1; }); }));

    fleet.put(source_entry_key(leaving), source_entry(leaving, "draining"));
    const auto end = std::chrono::steady_clock::now() + propagation_limit;
    bool in_force = false;
    for (int version = 2; !in_force && std::chrono::steady_clock::now() < end; ++version) {
        const auto changes = encode_relayed_changes({{"op/config", test::source_manifest(version)}});
        const source_update later_change{target_id{members.reader},
                                         later_position + static_cast<revision>(version), 1, changes};
        for (const auto& it : members.relays) {
            fleet.send(reader, it, later_change);
        }
        in_force = becomes_true(batch_interval, [&] {
            return each_relay([&](const auto* it) { return it->state_of(leaving) == vm_state::leaving; });
        });
    }
    CHECK(in_force);
}

// Guards against a malformed rate that lifts the limit in force.
TEST_CASE("the warm-up of a service comes from the manifest and stays if a new one is malformed",
          "[platform][warm-up]") {
    const std::string address = test::loopback_address(1);
    source_fleet fleet;
    fleet.register_all({address});
    auto& node = fleet.start_node(address);
    REQUIRE(becomes_true(start_time, [&] { return node.plan_version() == 1; }));
    CHECK_FALSE(node.warm_up());

    const auto limited = warm_up_plan{std::chrono::seconds{3}, rate{5.3}};
    fleet.put("op/config", test::source_manifest(2, limited.limit.per_second));
    REQUIRE(becomes_true(propagation_limit, [&] { return node.plan_version() == 2; }));
    CHECK(node.warm_up() == limited);

    fleet.put("op/config", test::source_manifest(3, -1));
    CHECK_FALSE(becomes_true(propagation_limit, [&] { return node.plan_version() != 2; }));
    CHECK(node.warm_up() == limited);
}

TEST_CASE("an update that is older than the node's state does not bring back a server that has left",
          "[platform][drain][field-reports]") {
    const auto members = test::find_members(2, [](const auto& it) { return it.reader == it.nodes.front(); });
    const std::string peer_address = members.nodes.back();

    source_fleet fleet;
    fleet.register_all(members.nodes);
    auto& peer = fleet.add_peer(peer_address);
    auto& node = fleet.start_node(members.reader);
    REQUIRE(becomes_true(start_time, [&] { return node.state_of(peer_address) == vm_state::live; }));
    fleet.remove(source_entry_key(peer_address));
    REQUIRE(
        becomes_true(propagation_limit, [&] { return node.state_of(peer_address) == vm_state::unlisted; }));

    const std::string entry = source_entry(peer_address, "ready");
    const auto changes = encode_relayed_changes(
        {{source_entry_key(peer_address), entry}, {"op/config", test::source_manifest(2)}});
    fleet.send(peer, members.reader, {target_id{peer_address}, earlier_position, 1, changes});
    REQUIRE(becomes_true(start_time, [&] { return node.plan_version() == 2; }));
    CHECK(node.state_of(peer_address) == vm_state::unlisted);
}

} // namespace cornelpier::platform
