#include "bench/capacity/heap.hpp"
#include "tests/node/control_fleet.hpp"

#include <catch2/catch.hpp>

namespace cornelpier::testing {

// Guards against growth of control messages or member state beyond the per-node budgets for control traffic
// and memory.
TEST_CASE("a control core stays within its traffic and memory budgets at 960 nodes", "[capacity]") {
    constexpr std::size_t count = 960;
    constexpr int duration_s = 3;
    constexpr std::size_t max_bytes_per_second = 25'000;
    constexpr std::size_t max_memory_bytes = std::size_t{64} * 1024 * 1024;
    constexpr std::size_t max_reads_per_second = 2'000;

    const auto empty = heap_in_use();
    control_fleet fleet;
    fleet.serve(1, fleet_sheet(1, count));
    fleet.start_all(count);
    REQUIRE(fleet.run_until([&] { return fleet.in_force(1); }, std::chrono::seconds{12}));
    fleet.run_for(std::chrono::seconds{4});
    CHECK((heap_in_use() - empty) / count < max_memory_bytes);

    fleet.gossip_bytes = 0;
    fleet.reads = 0;
    fleet.run_for(std::chrono::seconds{duration_s});
    // The budget covers sent and received bytes, so each datagram counts at both ends.
    CHECK(2 * fleet.gossip_bytes / count / duration_s < max_bytes_per_second);
    CHECK(fleet.reads / duration_s < max_reads_per_second);
}

} // namespace cornelpier::testing
