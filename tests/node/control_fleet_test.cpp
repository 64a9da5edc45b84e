#include "control_fleet.hpp"

#include <catch2/catch.hpp>

#include <ctime>
#include <iostream>

namespace cornelpier {

namespace {

using std::chrono::seconds;

struct traffic_rates {
    double reads_per_second = 0;
    double bytes_per_node = 0;   ///< Sent per second.
    double cpu_milliseconds = 0; ///< Per node and second.
};

/// Measures an idle fleet. CPU time is that of the test process: cores and simulated network, without codec.
traffic_rates measure(control_fleet& fleet, int length) {
    fleet.reads = 0;
    fleet.gossip_bytes = 0;
    const auto begin = std::clock();
    fleet.run_for(seconds{length});
    const double per_node = 1.0 / static_cast<double>(fleet.nodes.size()) / length;
    return {static_cast<double>(fleet.reads) / length, static_cast<double>(fleet.gossip_bytes) * per_node,
            1000.0 * static_cast<double>(std::clock() - begin) / CLOCKS_PER_SEC * per_node};
}

std::size_t stale_records(const control_fleet& fleet) {
    std::size_t count = 0;
    for (const auto& it : fleet.nodes) {
        count += it.core->snapshot(fleet.now).stale_members.size();
    }
    return count;
}

} // namespace

TEST_CASE("a plan is in force everywhere in time, also after a partition", "[control][fleet]") {
    const std::size_t count = GENERATE(std::size_t{10}, std::size_t{100}, std::size_t{960});
    const seconds limit{count == 10 ? 3 : 12};
    control_fleet fleet;
    fleet.serve(1, fleet_sheet(1, count));
    fleet.start_all(count);
    const auto cold = fleet.run_until([&] { return fleet.in_force(1); }, limit);
    REQUIRE(cold);
    fleet.run_for(seconds{25});

    const auto rest = measure(fleet, 10);
    const auto stale = stale_records(fleet);
    CHECK(rest.reads_per_second < 3.0);
    CHECK(rest.bytes_per_node * 2 < 25'000);
    CHECK(stale * 10'000 <= count * count);

    fleet.serve(2, fleet_sheet(2, count));
    const auto spread = fleet.run_until([&] { return fleet.in_force(2); }, limit);
    REQUIRE(spread);

    for (std::size_t n = 0; n < count; n += 3) {
        fleet.nodes[n].partition = 1;
    }
    fleet.run_for(seconds{5});
    fleet.serve(3, fleet_sheet(3, count));
    const auto divided = fleet.run_until([&] { return fleet.in_force(3, 0); }, limit);
    REQUIRE(divided);
    CHECK(fleet.in_force(2, 1));
    for (auto& it : fleet.nodes) {
        it.partition = 0;
    }
    const auto healed = fleet.run_until([&] { return fleet.in_force(3); }, limit);
    REQUIRE(healed);

    std::cout << count << " nodes: cold start " << to_seconds(*cold) << " s, new plan " << to_seconds(*spread)
              << " s, in two thirds " << to_seconds(*divided) << " s, after healing " << to_seconds(*healed)
              << " s; reads " << rest.reads_per_second << "/s; gossip sent " << rest.bytes_per_node
              << " B/s per node; CPU " << rest.cpu_milliseconds << " ms/s per node; stale " << stale << "\n";
}

} // namespace cornelpier
