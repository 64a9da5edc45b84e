#pragma once

#include "cornelpier/plan/plan.hpp"
#include "cornelpier/plan/route.hpp"
#include "cornelpier/plan/value_list.hpp"

#include <optional>
#include <string>

namespace cornelpier {

/// @return `host/prefix/`, by which requests choose the route.
std::string match_of(const route& it);

/// @return the values of a route other than name, host and path prefix.
value_list values_of(const route& it);

/// @return length and rate of a warm-up as text.
std::string warm_up_text(const std::optional<warm_up_plan>& warm_up);

/// @return the values of a service of a plan sheet without its rules and targets.
value_list values_of(const service_plan& it);

/// @return the values of a rule other than method and path prefix.
value_list values_of(const request_rule& it);

/// @return the values of a target without its id and service.
value_list values_of(const target_plan& it);

/// @return the values of the limits.
value_list values_of(const caller_limits& it);

} // namespace cornelpier
