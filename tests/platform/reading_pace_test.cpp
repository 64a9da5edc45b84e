#include "platform/reading_pace.hpp"

#include <catch2/catch.hpp>

namespace cornelpier::platform {

using std::chrono::milliseconds;

TEST_CASE("a change is in force in time though the reader fell silent right after it", "[platform]") {
    for (const int limit : {1300, 2000, 2500, 5000}) {
        const auto pace = pace_for(milliseconds{limit});
        CHECK(pace.silence + milliseconds{700} <= milliseconds{limit});
        CHECK(pace.pause + pace.wait < pace.silence);
        CHECK(pace.pause > duration::zero());
        CHECK(pace.wait > duration::zero());
        CHECK(pace.pause <= milliseconds{500});
    }
}

TEST_CASE("a limit that no reading could keep still leaves a pause between calls", "[platform]") {
    const auto pace = pace_for(milliseconds{100});
    CHECK(pace.pause >= milliseconds{100});
    CHECK(pace.wait > duration::zero());
}

} // namespace cornelpier::platform
