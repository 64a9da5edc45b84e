#pragma once

#include "daemon/report/fleet_report.hpp"

#include <string>

namespace cornelpier {

/// @return the report as plain text, at most 60 columns wide.
std::string to_text(const fleet_report& report);

/// @return a length of time in the largest unit that keeps two digits, such as `850 ms`, `12 s`, `3 min`.
std::string format_age(duration age);

/// @return the quantile, or `no calls` if there is nothing to take one of.
std::string format_latency(const call_counts& calls, duration quantile);

/// @return where the facts of a line come from and how old they are, such as `reported by a-2, 40 s old,
/// stale`.
std::string format_source(const node_status& status);

/// @return `all N nodes answered` or `N of M nodes answered`.
std::string format_answered(const group_totals& totals);

} // namespace cornelpier
