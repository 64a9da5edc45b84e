#include "cornelpier/base/backoff.hpp"

#include <catch2/catch.hpp>

namespace cornelpier {

using std::chrono::milliseconds;

TEST_CASE("the backoff doubles up to its limit, with jitter over the upper half", "[base]") {
    random_source random{1};
    const auto stays_within = [&](std::uint32_t repeats, milliseconds full) {
        for (int n = 0; n < 100; ++n) {
            const duration delay = backoff(milliseconds{100}, milliseconds{800}, repeats, random);
            CHECK(delay >= full / 2);
            CHECK(delay <= full);
        }
    };
    stays_within(0, milliseconds{100});
    stays_within(2, milliseconds{400});
    stays_within(3, milliseconds{800});
    stays_within(1'000'000, milliseconds{800});
}

} // namespace cornelpier
