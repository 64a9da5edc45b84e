#pragma once

#include "tests/support/history.hpp"

#include <string>
#include <vector>

namespace cornelpier::testing {

/// Checks what must always hold, from what callers saw and what servers received only.
/// @param end time up to which the history was recorded.
/// @return one line per violation.
std::vector<std::string> check_history(const history& records, time_point end);

} // namespace cornelpier::testing
