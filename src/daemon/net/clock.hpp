#pragma once

#include "cornelpier/base/units.hpp"

namespace cornelpier {

/// @return CLOCK_MONOTONIC, which stops while the VM is suspended.
time_point monotonic_now();

/// @return CLOCK_BOOTTIME, which runs on while the VM is suspended.
time_point boot_now();

} // namespace cornelpier
