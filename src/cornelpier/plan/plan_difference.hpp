#pragma once

#include "cornelpier/plan/plan_document.hpp"
#include "cornelpier/plan/plan_finding.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cornelpier {

/// How an entry of a plan differs from the version in force.
enum class change_kind : std::uint8_t {
    added,
    removed,
    moved, ///< Matches elsewhere: other host or path prefix, other precedence, or other service of a target.
    changed, ///< Has other values at the same place.
};

/// @return name of the kind, such as `added`.
std::string_view to_string(change_kind kind);

/// Difference in one entry.
struct plan_change {
    change_kind kind = change_kind::changed;
    std::string entry; ///< Kind of the entry, such as `route`.
    std::string name;  ///< Name of the entry within its kind.
    std::string text;  ///< What is different; for an added or removed entry its values.
};

/// Compares two plans of the same format.
/// @return the differences: routes, services with their rules and targets, limits.
std::vector<plan_change> difference(const plan_document& in_force, const plan_document& candidate);

/// @return the reason for which nodes with the plan in force refuse the candidate, or nothing.
std::optional<plan_finding> refusal_of(const plan_document& in_force, const plan_document& candidate);

} // namespace cornelpier
