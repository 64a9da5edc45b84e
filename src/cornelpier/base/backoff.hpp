#pragma once

#include "cornelpier/base/random_source.hpp"
#include "cornelpier/base/units.hpp"

#include <cstdint>

namespace cornelpier {

/// @param first delay before the first repeat.
/// @param longest delay that is not exceeded.
/// @param repeats that went before; each doubles the delay.
/// @param random draws between half of the delay and all of it, so that nodes which failed together do not
/// return together.
/// @return delay before the next repeat.
duration backoff(duration initial, duration max_delay, std::uint32_t retries, random_source& random);

} // namespace cornelpier
