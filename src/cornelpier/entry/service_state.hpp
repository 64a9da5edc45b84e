#pragma once

#include "cornelpier/base/ids.hpp"
#include "cornelpier/retry/hedge_policy.hpp"
#include "cornelpier/retry/retry_budget.hpp"
#include "cornelpier/routing/balancing_policy.hpp"
#include "cornelpier/timer/timer_service.hpp"

#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace cornelpier {

/// Retries per call that the budget of a service allows.
inline constexpr double retry_ratio = 0.1;

/// Retries that a service may make before its calls have earned any.
inline constexpr double initial_retry_tokens = 10;

/// Retries that a service may make at once. The loss of a data centre fails all runs there in one moment.
inline constexpr double max_retry_tokens = 50;

/// What an entry keeps per service.
struct service_state {
    explicit service_state(any_balancing_policy initial_chooser)
        : target_chooser(std::move(initial_chooser)) {}

    std::vector<target_id> subset;            ///< In the order of the plan.
    std::vector<data_centre_id> data_centres; ///< Of the targets in `subset`.
    std::vector<std::string> addresses;       ///< Of their nodes.
    bool has_lookups = false;                 ///< Some requests are idempotent.
    any_balancing_policy target_chooser;
    retry_budget retries{retry_ratio, initial_retry_tokens, max_retry_tokens};
    std::unordered_map<std::string, hedge_policy>
        hedge_policies; ///< By route; one entry if the plan has none.
    time_point last_call_at;
    time_point budget_exhausted_logged_at{duration::min()}; ///< Of the last event about the retry budget.
    timer_service::timer_id probe_timer = 0;                ///< 0 while no probes are sent.
    bool hedges_use_retry_budget = false; ///< Hedges draw on `retries` too: the fleet bounds both together.

    /// @return latencies and budget of hedges of a route.
    hedge_policy& hedge_policy_of(const std::string& route) { return hedge_policies[route]; }

    /// Takes what one hedge costs.
    /// @return false if a budget is empty.
    bool try_consume_hedge(const std::string& route) {
        return hedge_policy_of(route).try_take() && (!hedges_use_retry_budget || retries.try_take());
    }
};

} // namespace cornelpier
