#pragma once

#include "cornelpier/routing/balancing_policy.hpp"
#include "cornelpier/routing/locality_policy.hpp"

#include <string>

namespace cornelpier {

/// Switches for the entry's mechanisms, for the platform adapter and for comparisons between policies.
struct entry_options {
    balancing_policy_factory make_policy; ///< Empty: choose the target with the lowest estimate.
    bool conditional_admission = true;    ///< Send runs with a wait limit.
    bool probes = true;                   ///< Probe targets for load readings.
    bool hedging = true;                  ///< Send a slow lookup to a second target.
    bool slow_start = true;               ///< Send less traffic to new and recovered targets.
    bool ejection = true;                 ///< Exclude failing targets from the choice.
    bool allow_leaving_targets = true;    ///< Use leaving targets if there is no other.
    /// Callers do not read the verdict but take statuses 408, 421, 429 and 503 as proof that the request has
    /// not run and never will, so these are sent only with proof.
    bool status_implies_not_run = false;
    /// Request header, in lower case, whose value identifies the request in the log; empty: none.
    std::string request_id_field = {};
    locality_options locality = {}; ///< Price of traffic between data centres; default: none.
};

} // namespace cornelpier
