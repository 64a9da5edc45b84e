#pragma once

#include "cornelpier/base/units.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace cornelpier {

/// Time until a new run gets a slot, if the runs in progress end when expected and the queued ones before it
/// take the mean time each.
/// @param remaining expected rest of each run in progress.
/// @param slots runs that the server gets at a time, at least 1.
/// @param ahead queued runs that go first.
/// @param mean_work time of a queued run.
duration expected_slot_wait(std::vector<duration> remaining, std::uint32_t slots, std::size_t ahead,
                            duration mean_work);

} // namespace cornelpier
