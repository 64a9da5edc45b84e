#pragma once

#include "cornelpier/base/result.hpp"
#include "cornelpier/plan/plan.hpp"
#include "cornelpier/validation/json_validator.hpp"

#include <cstddef>
#include <string_view>
#include <vector>

namespace cornelpier {

/// Parses and validates a plan sheet.
/// @param sheet JSON as specified in section 9 of the design page. The size is not checked here:
/// `plan_manager` and the programs refuse sheets above `max_plan_bytes` before parsing them.
/// @return the plan, or all errors, each with its JSON pointer and reason.
checked_result<plan> parse_plan(std::string_view sheet);

/// What could be read of a plan sheet.
struct plan_sheet_reading {
    plan content;                               ///< Without the services that have errors.
    std::vector<std::size_t> service_positions; ///< Of the services of `content`, in the sheet.
    std::vector<error> errors;                  ///< Each with its JSON pointer and reason.
    bool is_json = false;                       ///< Otherwise the place of the only error is a position.
};

/// Reads a plan sheet and all its errors. A sheet without errors is valid, as for `parse_plan`.
/// @param max_errors limit of the errors of the schema.
plan_sheet_reading read_plan_sheet(std::string_view sheet, std::size_t max_errors = default_max_errors);

} // namespace cornelpier
