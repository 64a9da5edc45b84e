#include "cornelpier/admission/queueing_limit.hpp"

#include <algorithm>

namespace cornelpier {

namespace {

/// Wait estimates are sometimes wrong by a factor of two; a run that fits into this part of its remaining
/// time is answered before its caller gives up.
constexpr duration::rep deadline_divisor = 2;

/// Short runs mostly wait for the end of a transient slowdown, which can be estimated more precisely.
constexpr double short_run_deadline_fraction = 0.85;

/// Work varies between requests of a route; some need half of the expected time.
constexpr duration::rep min_work_divisor = 2;

} // namespace

duration max_queueing_time(const run_estimate& estimate) {
    const duration on_time_limit = estimate.objective_left - estimate.work;
    const duration deadline_limit =
        (estimate.short_work ? scale(estimate.deadline_left, short_run_deadline_fraction)
                             : estimate.deadline_left / deadline_divisor) -
        estimate.work;
    return std::max({on_time_limit, deadline_limit, duration::zero()});
}

bool cannot_meet_deadline(const run_estimate& estimate) {
    return estimate.deadline_left < estimate.work / min_work_divisor;
}

} // namespace cornelpier
