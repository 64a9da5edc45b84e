#include "cornelpier/base/backoff.hpp"

#include <catch2/catch.hpp>

namespace cornelpier {

using std::chrono::milliseconds;

TEST_CASE("the backoff doubles up to its limit, with jitter over the upper half", "[base]") {
    random_source random{1};
    const auto check_delay_range = [&](std::uint32_t retries, milliseconds full) {
        for (int n = 0; n < 100; ++n) {
            const duration delay = backoff(milliseconds{100}, milliseconds{800}, retries, random);
            CHECK(delay >= full / 2);
            CHECK(delay <= full);
        }
    };
    check_delay_range(0, milliseconds{100});
    check_delay_range(2, milliseconds{400});
    check_delay_range(3, milliseconds{800});
    check_delay_range(1'000'000, milliseconds{800});
}

} // namespace cornelpier
