#pragma once

#include "cornelpier/base/units.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace cornelpier {

/// Expected time until a new run gets a slot if the runs in progress end as expected and each queued run
/// before it takes the mean time.
/// @param remaining expected remaining time of each run in progress.
/// @param slots runs that the server executes at a time, at least 1.
/// @param ahead queued runs that start first.
/// @param mean_work mean time of a run.
duration expected_slot_wait(std::vector<duration> remaining, std::uint32_t slots, std::size_t ahead,
                            duration mean_work);

} // namespace cornelpier
