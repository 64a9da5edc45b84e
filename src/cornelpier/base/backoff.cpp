#include "cornelpier/base/backoff.hpp"

#include <algorithm>

namespace cornelpier {

duration backoff(duration first, duration longest, std::uint32_t repeats, random_source& random) {
    constexpr std::uint32_t max_shift = 8;
    const duration full = std::min(first * (1U << std::min(repeats, max_shift)), longest);
    return from_seconds(to_seconds(full) * (0.5 + random.unit() / 2));
}

} // namespace cornelpier
