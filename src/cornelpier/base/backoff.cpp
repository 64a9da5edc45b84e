#include "cornelpier/base/backoff.hpp"

#include <algorithm>

namespace cornelpier {

duration backoff(duration initial, duration max_delay, std::uint32_t retries, random_source& random) {
    constexpr std::uint32_t max_shift = 8;
    const duration full = std::min(initial * (1U << std::min(retries, max_shift)), max_delay);
    return from_seconds(to_seconds(full) * (0.5 + random.unit() / 2));
}

} // namespace cornelpier
