#pragma once

#include "cornelpier/base/units.hpp"

namespace cornelpier {

/// Estimates for a run when its owner decides whether to queue it.
struct run_estimate {
    duration work{};           ///< Expected time at a server of normal speed.
    duration objective_left{}; ///< Time until an answer is late; may be negative.
    duration deadline_left{};  ///< Time until the caller gives up.
    bool short_work = false;   ///< Much shorter than most runs of the server.
};

/// Limits queueing under overload. A run that would be late is refused at once while its caller can still
/// retry or use another target; it is queued nevertheless if it has ample time before its deadline. Short
/// runs are mostly calls of servers in the middle of longer work: nobody retries them and a refusal wastes
/// all of that work, so they are queued as long as they can be answered.
/// @return longest wait for which queueing serves the caller better than a refusal; not negative.
duration max_queueing_time(const run_estimate& estimate);

/// @return whether a run cannot meet its deadline even on an idle server.
bool cannot_meet_deadline(const run_estimate& estimate);

} // namespace cornelpier
