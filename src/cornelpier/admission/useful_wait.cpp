#include "cornelpier/admission/useful_wait.hpp"

#include <algorithm>

namespace cornelpier {

namespace {

/// A forecast of a wait is wrong by a factor of two at times; a run that fits into this share of its time
/// will be answered before its caller leaves.
constexpr duration::rep deadline_divisor = 2;

/// The wait of short runs is mostly the rest of a slow spell, which is known better.
constexpr double short_deadline_share = 0.85;

/// Work varies between requests of a route; some need half of the expected time.
constexpr duration::rep least_work_divisor = 2;

} // namespace

duration longest_useful_wait(const run_prospect& prospect) {
    const duration in_time = prospect.objective_left - prospect.work;
    const duration answered = (prospect.short_work ? scale(prospect.deadline_left, short_deadline_share)
                                                   : prospect.deadline_left / deadline_divisor) -
                              prospect.work;
    return std::max({in_time, answered, duration::zero()});
}

bool is_hopeless(const run_prospect& prospect) {
    return prospect.deadline_left < prospect.work / least_work_divisor;
}

} // namespace cornelpier
