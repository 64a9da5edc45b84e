#pragma once

#include "cornelpier/base/result.hpp"
#include "cornelpier/plan/plan.hpp"

#include <string_view>

namespace cornelpier {

/// Parses and checks a plan sheet.
/// @param sheet JSON as in section 9 of the design page. Its size is not limited here; `plan_manager` and the
/// programs refuse sheets above `max_plan_bytes` before they are parsed.
/// @return the plan, or every mistake with its JSON pointer and reason.
checked_result<plan> parse_plan(std::string_view sheet);

} // namespace cornelpier
