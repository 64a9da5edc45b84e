#pragma once

#include "cornelpier/base/result.hpp"
#include "cornelpier/plan/plan.hpp"

#include <string_view>

namespace cornelpier {

/// Parses and validates a plan sheet.
/// @param sheet JSON as specified in section 9 of the design page. The size is not checked here:
/// `plan_manager` and the programs refuse sheets above `max_plan_bytes` before parsing them.
/// @return the plan, or all errors, each with its JSON pointer and reason.
checked_result<plan> parse_plan(std::string_view sheet);

} // namespace cornelpier
