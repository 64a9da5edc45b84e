#include "tests/soak/deadly_tracker.hpp"

#include <catch2/catch.hpp>

namespace cornelpier::soak {

TEST_CASE("more than three late runs of a request that has ended three servers are a violation", "[deadly]") {
    invariant_checker checker{2};
    fault_tracker faults;
    deadly_tracker it{checker, faults};
    const auto start = std::chrono::steady_clock::now();
    for (int n = 0; n < 3; ++n) {
        it.on_run("/safe/deadly-1", start);
        it.on_crash("/safe/deadly-1", start);
    }
    const auto late = start + stabilization_time + std::chrono::milliseconds{1};
    for (int n = 0; n < 3; ++n) {
        it.on_run("/safe/deadly-1", late);
        it.on_run("/safe/deadly-2", late);
    }
    CHECK(checker.violations().empty());
    it.on_run("/safe/deadly-1", start + stabilization_time);
    CHECK(checker.violations().empty());
    it.on_run("/safe/deadly-1", late);
    CHECK(checker.violations().size() == 1);
}

} // namespace cornelpier::soak
