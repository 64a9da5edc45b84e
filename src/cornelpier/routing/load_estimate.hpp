#pragma once

#include "cornelpier/base/units.hpp"
#include "cornelpier/routing/reading_table.hpp"

#include <span>

namespace cornelpier {

/// Expected times of a request that is sent to a target now.
struct load_estimate {
    duration wait{};    ///< Until the server starts on it.
    duration service{}; ///< At the server.
};

/// @param loads entries of a subset; nullptr for targets without one.
/// @return mean wait and median service time of the targets that have a reading; zero if none has.
load_estimate average_load(std::span<const target_load* const> loads);

/// Corrects the last reading by what happened since: own runs add to the wait, and with growing age the
/// reading counts less than the average of the subset. A service time near the median of the subset is taken
/// for the median, a difference beyond that counts half. A target without a reading is taken for idle.
/// @param load entry of the target; may be nullptr.
/// @param average mean of the subset.
/// @param round_trip round trip to the target; own runs sent less than that before the reading came in are
/// not contained in it.
load_estimate estimate_load(const target_load* load, const load_estimate& average, duration round_trip,
                            time_point now);

/// Time that a run is expected to lose by a slow spell of the server, see `slowness_meter`. What the last
/// reading told fades within some hundred milliseconds into what is usual.
/// @param load entry of the target; may be nullptr.
/// @param work expected time at a server of usual speed.
duration expected_slowdown_delay(const target_load* load, duration work, time_point now);

} // namespace cornelpier
