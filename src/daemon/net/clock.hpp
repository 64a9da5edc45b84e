#pragma once

#include "cornelpier/base/units.hpp"

namespace cornelpier {

/// @return time of CLOCK_MONOTONIC, which stops while the VM is suspended.
time_point monotonic_now();

/// @return time of CLOCK_BOOTTIME, which includes the time that the VM was suspended.
time_point boot_now();

} // namespace cornelpier
