#pragma once

#include "cornelpier/base/random_source.hpp"
#include "cornelpier/base/units.hpp"

#include <cstdint>

namespace cornelpier {

/// Exponential backoff with jitter.
/// @param initial delay before the first retry.
/// @param max_delay upper bound of the delay.
/// @param retries number of earlier retries; each doubles the delay.
/// @param random picks a delay between half and all of the full one, so that nodes that failed at the same
/// time do not retry at the same time.
/// @return delay before the next retry.
duration backoff(duration initial, duration max_delay, std::uint32_t retries, random_source& random);

} // namespace cornelpier
