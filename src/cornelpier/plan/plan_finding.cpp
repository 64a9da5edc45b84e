#include "cornelpier/plan/plan_finding.hpp"

#include <algorithm>
#include <array>

namespace cornelpier {

namespace {

struct finding_entry {
    finding_kind kind;
    std::string_view name;
    finding_severity severity;
};

constexpr std::array entries{
    finding_entry{finding_kind::too_large, "too-large", finding_severity::error},
    finding_entry{finding_kind::malformed, "malformed", finding_severity::error},
    finding_entry{finding_kind::invalid, "invalid", finding_severity::error},
    finding_entry{finding_kind::unknown_key, "unknown-key", finding_severity::error},
    finding_entry{finding_kind::zero_weights, "zero-weights", finding_severity::error},
    finding_entry{finding_kind::unknown_service, "unknown-service", finding_severity::error},
    finding_entry{finding_kind::older_version, "older-version", finding_severity::error},
    finding_entry{finding_kind::conflicting_version, "conflicting-version", finding_severity::error},
    finding_entry{finding_kind::ignored_key, "ignored-key", finding_severity::warning},
    finding_entry{finding_kind::ignored_value, "ignored-value", finding_severity::warning},
    finding_entry{finding_kind::unknown_kind, "unknown-kind", finding_severity::warning},
    finding_entry{finding_kind::shadowed_route, "shadowed-route", finding_severity::warning},
    finding_entry{finding_kind::impossible_host, "impossible-host", finding_severity::warning},
    finding_entry{finding_kind::impossible_prefix, "impossible-prefix", finding_severity::warning},
    finding_entry{finding_kind::impossible_method, "impossible-method", finding_severity::warning},
    finding_entry{finding_kind::unknown_method, "unknown-method", finding_severity::warning},
    finding_entry{finding_kind::unreachable_rule, "unreachable-rule", finding_severity::warning},
    finding_entry{finding_kind::unused_service, "unused-service", finding_severity::warning},
    finding_entry{finding_kind::service_without_target, "service-without-target", finding_severity::warning},
    finding_entry{finding_kind::objective_above_timeout, "objective-above-timeout",
                  finding_severity::warning},
    finding_entry{finding_kind::attempts_above_targets, "attempts-above-targets", finding_severity::warning},
    finding_entry{finding_kind::attempts_above_budget, "attempts-above-budget", finding_severity::warning},
    finding_entry{finding_kind::body_above_memory, "body-above-memory", finding_severity::warning},
    finding_entry{finding_kind::evacuated_service, "evacuated-service", finding_severity::warning},
    finding_entry{finding_kind::warm_up_above_slots, "warm-up-above-slots", finding_severity::warning},
};

const finding_entry& entry_of(finding_kind kind) {
    return *std::ranges::find(entries, kind, &finding_entry::kind);
}

} // namespace

std::string_view to_string(finding_kind kind) {
    return entry_of(kind).name;
}

finding_severity severity_of(finding_kind kind) {
    return entry_of(kind).severity;
}

std::string_view to_string(finding_severity severity) {
    return severity == finding_severity::error ? "error" : "warning";
}

std::size_t count(const std::vector<plan_finding>& findings, finding_severity severity) {
    return static_cast<std::size_t>(
        std::ranges::count_if(findings, [&](const auto& it) { return severity_of(it.kind) == severity; }));
}

} // namespace cornelpier
