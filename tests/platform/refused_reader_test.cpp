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
using standins::store_refusal;
using test::becomes_true;
using test::source_entry;
using test::source_entry_key;
using test::source_fleet;

/// The least bound of the platform, in which the time for which missing entries are kept does not fit.
constexpr auto drain_limit = 2000ms;

/// Limit for a node to list the store.
constexpr auto start_time = 1s;

/// For how long the store refuses the reader: longer than an outage in which entries expire.
constexpr auto refusal_time = 3s;

std::vector<test::source_node*> start_all(source_fleet& fleet, const std::vector<std::string>& addresses) {
    for (const auto& it : addresses) {
        fleet.put(source_entry_key(it), source_entry(it, "ready"));
    }
    std::vector<test::source_node*> nodes;
    for (const auto& it : addresses) {
        nodes.push_back(&fleet.start_node(it));
    }
    REQUIRE(becomes_true(start_time, [&] {
        return std::ranges::all_of(nodes, [](const auto* it) { return it->plan_version() == 1; });
    }));
    return nodes;
}

} // namespace

// Guards against requests that nodes which were never refused send to a server that has left.
TEST_CASE("a server that leaves as the store serves the reader again is dropped in time by all nodes",
          "[platform][refusal]") {
    const auto refusal = GENERATE(store_refusal::unavailable, store_refusal::too_many_requests,
                                  store_refusal::disconnect, store_refusal::silence);
    const auto members = test::find_members(4, [](const auto& it) { return it.relays.front() != it.reader; });
    const std::string leaving = *std::ranges::find_if(
        members.nodes, [&](const auto& it) { return it != members.reader && it != members.relays.front(); });
    source_fleet fleet{drain_limit};
    const auto nodes = start_all(fleet, members.nodes);
    fleet.refuse(members.reader, refusal);
    std::this_thread::sleep_for(refusal_time);
    fleet.refuse(members.reader, store_refusal::none);

    fleet.remove(source_entry_key(leaving));
    CHECK(becomes_true(drain_limit, [&] {
        return std::ranges::all_of(
            nodes, [&](const auto* it) { return it->state_of(leaving) == vm_state::unlisted; });
    }));
}

// Guards against nodes that stop reading since a reader confirms a state that it knows to be out of date.
TEST_CASE("a reader that keeps missing entries confirms nobody", "[platform][refusal]") {
    const auto members = test::find_members(2, [](const auto& it) { return it.reader == it.nodes.front(); });
    const std::string& leaving = members.nodes.back();
    source_fleet fleet{drain_limit};
    auto& peer = fleet.add_peer(leaving);
    fleet.put(source_entry_key(leaving), source_entry(leaving, "ready"));
    const auto nodes = start_all(fleet, {members.reader});
    REQUIRE(becomes_true(start_time, [&] { return !peer.received().empty(); }));

    fleet.refuse(members.reader, store_refusal::unavailable);
    std::this_thread::sleep_for(refusal_time);
    fleet.remove(source_entry_key(leaving));
    const std::size_t before = peer.received().size();
    fleet.refuse(members.reader, store_refusal::none);
    REQUIRE(
        becomes_true(refusal_time, [&] { return nodes.front()->state_of(leaving) == vm_state::unlisted; }));
    const auto received = peer.received();
    CHECK(std::ranges::none_of(received.begin() + static_cast<std::ptrdiff_t>(before), received.end(),
                               [](const auto& it) { return it.changes.empty(); }));
}

} // namespace cornelpier::platform
