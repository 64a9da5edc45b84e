#pragma once

#include "cornelpier/plan/plan.hpp"

#include <memory>
#include <string>

namespace cornelpier::testing {

/// @return the plan as a JSON sheet.
std::string to_sheet(const plan& value);

/// @return the plan with its sheet and hash filled in.
std::shared_ptr<const plan> finalize_plan(plan value);

/// @return a target whose VM is `vm-<id>` and whose address is derived from its number.
target_plan make_target(const std::string& id, const std::string& data_centre, std::size_t number);

/// @return rules that tell orders (POST) from urgent lookups (anything else).
std::vector<request_rule> default_rules();

} // namespace cornelpier::testing
