#pragma once

#include "cornelpier/base/ids.hpp"
#include "cornelpier/retry/hedge_policy.hpp"
#include "cornelpier/retry/retry_budget.hpp"
#include "cornelpier/routing/chooser.hpp"
#include "cornelpier/timer/timer_service.hpp"

#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace cornelpier {

/// Retries per call that the budget of a service allows.
inline constexpr double retry_share = 0.1;

/// Retries that a service may make before its calls have earned any.
inline constexpr double retry_reserve = 10;

/// Retries that a service may make at once. The loss of a data centre fails all runs there in one moment.
inline constexpr double retry_capacity = 50;

/// What an entry keeps per service.
struct service_state {
    explicit service_state(any_chooser chosen) : policy(std::move(chosen)) {}

    std::vector<target_id> subset;            ///< In the order of the plan.
    std::vector<data_centre_id> data_centres; ///< Of the targets in `subset`.
    std::vector<std::string> addresses;       ///< Of their nodes.
    bool has_lookups = false;                 ///< Some requests are idempotent.
    any_chooser policy;
    retry_budget retries{retry_share, retry_reserve, retry_capacity};
    std::unordered_map<std::string, hedge_policy> hedges; ///< By route; one entry if the plan has none.
    time_point last_call_at;
    time_point budget_exhausted_logged_at{duration::min()}; ///< Of the last event about the retry budget.
    timer_service::timer_id probe_timer = 0;                ///< 0 while no probes are sent.
    bool shares_repeats = false; ///< Hedges draw on `retries` too: the fleet bounds both together.

    /// @return latencies and budget of hedges of a route.
    hedge_policy& hedges_of(const std::string& route) { return hedges[route]; }

    /// Takes what one hedge costs.
    /// @return false if a budget is empty.
    bool take_hedge(const std::string& route) {
        return hedges_of(route).take() && (!shares_repeats || retries.take());
    }
};

} // namespace cornelpier
