#pragma once

#include "daemon/report/fleet_report.hpp"

#include <string>

namespace cornelpier {

/// @return the report as plain text, at most 60 columns wide.
std::string to_text(const fleet_report& report);

/// @return a duration with a unit chosen by its magnitude, such as `1.5 ms`, `850 ms`, `12 s`, `3 min`.
std::string format_age(duration age);

/// @return the quantile, or `no calls` if none were counted.
std::string format_latency(const call_counts& calls, duration quantile);

/// @return source and age of a node's status, such as `no answer; reported by a-2, 40 s old, STALE`.
std::string format_source(const node_status& status);

/// @return the rate limit that the node's server names, such as `server accepts 4.7 requests a second`; empty
/// if it names none.
std::string format_rate_limit(const node_status& status);

/// @return the requests in quarantine and the ends of the server; empty if no request is in quarantine.
std::string format_quarantine(const node_status& status);

/// @return `all N nodes answered` or `N of M nodes answered`.
std::string format_answered(const group_totals& totals);

} // namespace cornelpier
