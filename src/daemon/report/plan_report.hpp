#pragma once

#include "cornelpier/plan/plan_difference.hpp"
#include "cornelpier/plan/plan_document.hpp"
#include "cornelpier/plan/plan_finding.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cornelpier {

/// Difference from the version in force.
struct plan_report_difference {
    std::uint64_t in_force = 0; ///< Version in force.
    std::vector<plan_change> changes;
    bool is_complete = true; ///< Not if parts of the document were left out as invalid.
};

/// Result of the check of one document.
struct plan_report {
    std::string format; ///< Name of the format.
    plan content;       ///< What could be read.
    std::vector<plan_finding> findings;
    std::optional<plan_report_difference> difference; ///< Unset: no version in force was given.
};

/// @return the report as text, one line for each finding and each change.
std::string to_text(const plan_report& report);

/// @return the report as a JSON document.
std::string to_json(const plan_report& report);

} // namespace cornelpier
