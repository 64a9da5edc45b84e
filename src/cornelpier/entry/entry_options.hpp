#pragma once

#include "cornelpier/routing/balancing_policy.hpp"

#include <string>

namespace cornelpier {

/// Replaces parts of the entry's decisions, for comparisons between policies.
struct entry_options {
    balancing_policy_factory make_chooser; ///< Empty: the target with the lowest estimate.
    bool conditional_admission = true;     ///< Send wait limits with runs.
    bool probes = true;                    ///< Ask for readings.
    bool hedging = true;                   ///< Send slow lookups a second time.
    bool slow_start = true;                ///< Give young and recovered targets a smaller share.
    bool ejection = true;                  ///< Take failing targets out of the choice.
    bool allow_leaving_targets = true;     ///< Leaving targets are a last resort; otherwise they get nothing.
    /// Statuses 408, 421, 429 and 503 promise that the request has not run and never will, for callers who
    /// do not read the verdict.
    bool status_implies_not_run = false;
    /// Field of callers' requests that names them in the log, in lower case; empty: there is none.
    std::string request_id_field = {};
};

} // namespace cornelpier
