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

/// Longest pause of a node between two calls to a store that refuses it.
constexpr auto longest_backoff = 800ms;

/// Time for a waiting or pausing reader to read a change.
constexpr auto read_time = 800ms;

/// @param registered nodes with an entry in the store.
/// @param started those of them that run.
std::vector<test::source_node*> start_all(source_fleet& fleet, const std::vector<std::string>& registered,
                                          const std::vector<std::string>& started) {
    for (const auto& it : registered) {
        fleet.put(source_entry_key(it), source_entry(it, "ready"));
    }
    std::vector<test::source_node*> nodes;
    for (const auto& it : started) {
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
    const auto nodes = start_all(fleet, members.nodes, members.nodes);
    fleet.refuse(members.reader, refusal);
    std::this_thread::sleep_for(refusal_time);
    fleet.refuse(members.reader, store_refusal::none);

    fleet.remove(source_entry_key(leaving));
    CHECK(becomes_true(drain_limit, [&] {
        return std::ranges::all_of(
            nodes, [&](const auto* it) { return it->state_of(leaving) == vm_state::unlisted; });
    }));
}

// The nodes that a refused relay updates must not depend on it.
TEST_CASE(
    "a server that leaves as the store serves the reader and a relay again is dropped in time by the others",
    "[platform][refusal]") {
    const auto members = test::find_members(4, [](const auto& it) { return it.relays.front() != it.reader; });
    const std::vector<std::string> refused{members.reader, members.relays.front()};
    std::vector<std::string> others = members.nodes;
    std::erase_if(others, [&](const auto& it) { return std::ranges::find(refused, it) != refused.end(); });
    const std::string leaving = others.back();
    source_fleet fleet{drain_limit};
    start_all(fleet, members.nodes, refused);
    const auto nodes = start_all(fleet, {}, others);
    for (const auto& it : refused) {
        fleet.refuse(it, store_refusal::unavailable);
    }
    std::this_thread::sleep_for(refusal_time);
    fleet.remove(source_entry_key(leaving));
    for (const auto& it : refused) {
        fleet.refuse(it, store_refusal::none);
    }
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
    const auto nodes = start_all(fleet, members.nodes, {members.reader});
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

// Guards against a reader that takes its own refusal for an outage of the store.
TEST_CASE("a reader that hears from its relays while it is refused drops a server at once",
          "[platform][refusal]") {
    const auto members = test::find_members(4, [](const auto& it) { return it.relays.front() != it.reader; });
    const std::string leaving = *std::ranges::find_if(
        members.nodes, [&](const auto& it) { return it != members.reader && it != members.relays.front(); });
    source_fleet fleet{drain_limit};
    // Only the relay runs beside the reader. The store refuses it last, so that it cannot report the removal.
    const auto nodes = start_all(fleet, members.nodes, {members.reader, members.relays.front()});
    fleet.refuse(members.reader, store_refusal::unavailable);
    std::this_thread::sleep_for(refusal_time);
    fleet.refuse(members.relays.front(), store_refusal::silence);
    fleet.refuse(members.reader, store_refusal::none);
    std::this_thread::sleep_for(longest_backoff);

    fleet.remove(source_entry_key(leaving));
    CHECK(becomes_true(read_time, [&] { return nodes.front()->state_of(leaving) == vm_state::unlisted; }));
}

// Guards against a reader that hears nothing while it is refused, since it updates its data centre itself.
TEST_CASE("a node that reads since the reader is silent tells the reader", "[platform][refusal]") {
    const auto members = test::find_members(2, [](const auto& it) {
        return it.reader == it.nodes.front() && it.relays == std::vector{it.reader};
    });
    source_fleet fleet{drain_limit};
    auto& reader = fleet.add_peer(members.reader);
    start_all(fleet, members.nodes, {members.nodes.back()});
    REQUIRE(becomes_true(drain_limit, [&] { return !reader.received().empty(); }));
    CHECK(reader.received().back().evidence == update_evidence::available);
}

} // namespace cornelpier::platform
