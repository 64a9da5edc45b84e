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

/// Tokens that each call adds to the retry budget of its service.
inline constexpr double retry_ratio = 0.1;

/// Tokens of a new retry budget.
inline constexpr double initial_retry_tokens = 10;

/// Capacity of a retry budget. Must allow for the loss of a data centre, which fails all runs there at once.
inline constexpr double max_retry_tokens = 50;

/// State that an entry keeps per service.
struct service_state {
    explicit service_state(any_balancing_policy initial_policy) : policy(std::move(initial_policy)) {}

    std::vector<target_id> subset;            ///< In the order of the plan.
    std::vector<data_centre_id> data_centres; ///< Of the targets in `subset`.
    std::vector<std::string> addresses;       ///< Of their nodes.
    bool has_lookups = false;                 ///< Some requests of the service may be idempotent.
    any_balancing_policy policy;
    retry_budget retries{retry_ratio, initial_retry_tokens, max_retry_tokens};
    std::unordered_map<std::string, hedge_policy> hedge_policies; ///< By route name; "" without routes.
    time_point last_call_at;
    time_point budget_exhausted_logged_at{duration::min()}; ///< Time of the last such log event.
    timer_service::timer_id probe_timer = 0;                ///< 0 while probing is off.
    bool hedges_use_retry_budget = false;                   ///< The fleet limits hedges and retries together.

    hedge_policy& hedge_policy_of(const std::string& route) { return hedge_policies[route]; }

    /// Takes a hedge token and, if hedges use the retry budget, a retry token.
    /// @return false if either budget is empty.
    bool try_consume_hedge(const std::string& route) {
        return hedge_policy_of(route).try_take() && (!hedges_use_retry_budget || retries.try_take());
    }
};

} // namespace cornelpier
