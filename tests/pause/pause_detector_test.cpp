#include "cornelpier/pause/pause_detector.hpp"

#include <catch2/catch.hpp>

namespace cornelpier {

using std::chrono::milliseconds;

TEST_CASE("a gap above 500 ms on either clock is a pause", "[pause]") {
    pause_detector detector;
    CHECK_FALSE(detector.tick(milliseconds{10'000}, milliseconds{90'000}));
    CHECK_FALSE(detector.tick(milliseconds{10'500}, milliseconds{90'500}));
    CHECK(detector.tick(milliseconds{11'001}, milliseconds{91'001}) == milliseconds{501});

    // Suspending the machine stops only the monotonic clock.
    CHECK(detector.tick(milliseconds{11'051}, milliseconds{99'001}) == milliseconds{8'000});
    CHECK_FALSE(detector.tick(milliseconds{11'101}, milliseconds{99'051}));
}

} // namespace cornelpier
