#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cornelpier {

/// What a check of a plan found. The names and their meaning are stable; see `docs/operators.md`.
enum class finding_kind : std::uint8_t {
    too_large,
    malformed,
    invalid,
    unknown_key,
    zero_weights,
    unknown_service,
    older_version,
    conflicting_version,
    ignored_key,
    ignored_value,
    unknown_kind,
    shadowed_route,
    impossible_host,
    impossible_prefix,
    impossible_method,
    unknown_method,
    unreachable_rule,
    unused_service,
    service_without_target,
    objective_above_timeout,
    attempts_above_targets,
    attempts_above_budget,
    body_above_memory,
    evacuated_service,
    warm_up_above_slots,
};

/// Number of kinds; values are below it.
inline constexpr int finding_kind_count = static_cast<int>(finding_kind::warm_up_above_slots) + 1;

/// Whether a plan with the finding may be sent.
enum class finding_severity : std::uint8_t {
    error,   ///< Nodes refuse the plan, or refuse all requests of an entry.
    warning, ///< Nodes accept the plan; part of it has no effect or an unlikely one.
};

/// Something in a plan that its author should know before sending it.
struct plan_finding {
    finding_kind kind = finding_kind::invalid;
    std::string place; ///< JSON pointer, or line and column; empty for the document as a whole.
    std::string text;  ///< One sentence without a full stop.
};

/// @return the stable name of the finding, such as `shadowed-route`.
std::string_view to_string(finding_kind kind);

/// @return the severity, which depends on the kind alone.
finding_severity severity_of(finding_kind kind);

/// @return `error` or `warning`.
std::string_view to_string(finding_severity severity);

/// @return the number of findings of a severity.
std::size_t count(const std::vector<plan_finding>& findings, finding_severity severity);

} // namespace cornelpier
