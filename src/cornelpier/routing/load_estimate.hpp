#pragma once

#include "cornelpier/base/units.hpp"
#include "cornelpier/routing/reading_table.hpp"

#include <span>

namespace cornelpier {

/// Expected times of a request that is sent to a target now.
struct load_estimate {
    duration wait{};    ///< Time until the server starts it.
    duration service{}; ///< Time at the server.
};

/// @param loads load of each target of a subset; nullptr for targets without one.
/// @return mean wait and median service time of the targets that have a reading; zero if none has.
load_estimate average_load(std::span<const target_load* const> loads);

/// Corrects the last reading for later events: own runs add to the wait, and with increasing age the reading
/// counts less than the average of the subset. A service time near the median of the subset is replaced by
/// the median; a larger difference counts half. A target without a reading is assumed to be idle.
/// @param load load of the target; may be nullptr.
/// @param average average of the subset, from `average_load`.
/// @param round_trip round trip to the target. Own runs sent less than this before the reading arrived are
/// not included in the reading.
load_estimate estimate_load(const target_load* load, const load_estimate& average, duration round_trip,
                            time_point now);

/// Expected time that a run loses through a transient slowdown of the server, see `slowness_meter`. Within
/// some hundred milliseconds, the weight of the last reading decays in favour of the long-term mean.
/// @param load load of the target; may be nullptr.
/// @param work expected time at a server of normal speed.
duration expected_slowdown_delay(const target_load* load, duration work, time_point now);

} // namespace cornelpier
