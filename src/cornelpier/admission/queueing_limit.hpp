#pragma once

#include "cornelpier/base/units.hpp"

namespace cornelpier {

/// What is known of a run when an owner decides whether to queue it.
struct run_estimate {
    duration work{};           ///< Expected time at a server of usual speed.
    duration objective_left{}; ///< Until an answer is late; may be negative.
    duration deadline_left{};  ///< Until the caller has gone.
    bool short_work = false;   ///< Much shorter than most runs of the server.
};

/// Answers overload: a run that would be late while its caller could still come back or go elsewhere is
/// refused at once, and one that has plenty of time before its deadline is queued although it will be late.
/// Short runs are mostly calls of servers that work on something longer; nobody comes back with them, and all
/// of that work is lost if they are refused, so that they are queued as long as they can be answered.
/// @return longest wait with which queueing a run serves its caller better than a refusal; not negative.
duration max_queueing_time(const run_estimate& estimate);

/// @return whether a run has no prospect even on an idle server.
bool cannot_meet_deadline(const run_estimate& estimate);

} // namespace cornelpier
