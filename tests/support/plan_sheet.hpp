#pragma once

#include "cornelpier/plan/plan.hpp"

#include <memory>
#include <string>

namespace cornelpier::testing {

/// @return the plan serialized as a JSON sheet.
std::string to_sheet(const plan& value);

/// @return the plan with its sheet and content hash set.
std::shared_ptr<const plan> finalize_plan(plan value);

/// @return a target on VM `vm-<id>` with a loopback address whose port depends on `number`.
target_plan make_target(const std::string& id, const std::string& data_centre, std::size_t number);

/// @return rules that classify POST requests as orders and all others as urgent lookups.
std::vector<request_rule> default_rules();

} // namespace cornelpier::testing
