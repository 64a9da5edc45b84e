#pragma once

#include "cornelpier/base/result.hpp"
#include "cornelpier/plan/plan_document.hpp"
#include "cornelpier/plan/route.hpp"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace cornelpier {

/// Exit statuses of the check of a plan. They differ from those of the other programs.
inline constexpr int exit_plan_clean = 0;
inline constexpr int exit_plan_errors = 1;   ///< Also if the check could not be made.
inline constexpr int exit_plan_warnings = 2; ///< Warnings only.

/// What the check needs to know of the platform that it runs for.
struct plan_check_formats {
    /// The first one that recognizes the document reads it; the last one recognizes every document.
    std::vector<plan_format> formats;
    /// Reads the fleet's retry budget from the adapter's part of a node's settings; null: there is none.
    std::function<result<fleet_retry_budget>(const std::string&)> read_retry_budget;
};

/// Main function of the program that checks a plan before it is sent.
/// @return the exit status.
int run_plan_check(int argc, const char* const* argv, const plan_check_formats& formats);

} // namespace cornelpier
