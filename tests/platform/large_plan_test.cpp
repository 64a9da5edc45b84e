#include "tests/platform/support/source_documents.hpp"
#include "tests/platform/support/source_fleet.hpp"
#include "tests/platform/support/source_members.hpp"
#include "tests/process/support/becomes_true.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <numeric>
#include <thread>

namespace cornelpier::platform {

namespace {

using namespace std::chrono_literals;
using test::becomes_true;
using test::propagation_limit;
using test::source_entry;
using test::source_entry_key;
using test::source_fleet;

/// Nodes of the data centre.
constexpr std::size_t node_count = 24;

/// Routes that the operator adds at once.
constexpr int added_routes = 1400;

/// Throughput of the slowest link, in bytes per second.
constexpr double slowest_link = 10e6 / 8;

/// Part of the limit on the propagation of a change in which a node may fill its link with copies of it.
constexpr double sending_share = 0.25;

/// Limit for a node to list the store.
constexpr auto start_time = 1s;

std::size_t received_bytes(const std::vector<test::update_peer*>& peers) {
    return std::accumulate(peers.begin(), peers.end(), std::size_t{0}, [](std::size_t sum, const auto* peer) {
        for (const auto& it : peer->received()) {
            sum += it.changes.size();
        }
        return sum;
    });
}

} // namespace

// Guards against a relay that cannot read the store since its link is full of copies of a large plan.
TEST_CASE("a large plan does not fill the link of a relay", "[platform][large-plan][field-reports]") {
    const bool gives_up_its_role = GENERATE(false, true);
    const auto members = test::find_members(node_count, [](const auto&) { return true; });
    const auto& address = members.relays.front();
    source_fleet fleet;
    fleet.register_all(members.nodes);
    std::vector<test::update_peer*> peers;
    for (const auto& it : members.nodes) {
        if (it != address) {
            peers.push_back(&fleet.add_peer(it));
        }
    }
    const auto& relay = fleet.start_node(address);
    REQUIRE(becomes_true(start_time, [&] { return relay.plan_version() == 1; }));

    if (gives_up_its_role) {
        fleet.put(source_entry_key(address), source_entry(address, "draining"));
    }
    const int routes = gives_up_its_role ? 3 * added_routes : added_routes;
    fleet.put("op/config", test::source_manifest(2, test::many_routes(routes)));
    REQUIRE(becomes_true(propagation_limit, [&] { return relay.plan_version() == 2; }));
    std::this_thread::sleep_for(propagation_limit);
    const std::size_t sent = received_bytes(peers);
    CHECK(sent > 0);
    CHECK(static_cast<double>(sent) <
          sending_share * std::chrono::duration<double>{propagation_limit}.count() * slowest_link);
}

TEST_CASE("all nodes have a large plan in time though a relay and a node that forwards it are gone",
          "[platform][large-plan][field-reports]") {
    const auto members = test::find_members(
        node_count, [](const auto& it) { return !it.is_relay(it.reader) && it.reader != it.nodes.back(); });
    const auto& stopped = members.relays.front();
    source_fleet fleet;
    fleet.register_all(members.nodes);
    std::vector<test::source_node*> nodes;
    for (const auto& it : members.nodes) {
        if (it != stopped && it != members.nodes.back()) {
            nodes.push_back(&fleet.start_node(it));
        }
    }
    const auto all_have = [&](std::uint64_t version) {
        return std::ranges::all_of(nodes, [&](const auto* it) { return it->plan_version() == version; });
    };
    REQUIRE(becomes_true(start_time, [&] { return all_have(1); }));

    fleet.put("op/config", test::source_manifest(2, test::many_routes(added_routes)));
    std::this_thread::sleep_for(100ms);
    fleet.put("op/config", test::source_manifest(3, test::many_routes(added_routes)));
    CHECK(becomes_true(propagation_limit, [&] { return all_have(3); }));
}

} // namespace cornelpier::platform
