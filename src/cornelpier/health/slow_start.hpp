#pragma once

#include "cornelpier/base/units.hpp"

#include <chrono>

namespace cornelpier {

/// Age at which a target gets its full share of traffic.
inline constexpr duration slow_start_window = std::chrono::seconds{10};

/// @param age time since the target began to serve or recovered from ejection.
/// @return share of traffic that the target gets, in (0, 1]; grows linearly.
double slow_start_share(duration age);

} // namespace cornelpier
