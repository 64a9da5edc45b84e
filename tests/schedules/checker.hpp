#pragma once

#include "tests/support/history.hpp"

#include <string>
#include <vector>

namespace cornelpier::testing {

/// Checks the guarantees of the balancer against the observations of callers and servers.
/// @param end end of the recorded period; answers due later are not required.
/// @return one line per violation.
std::vector<std::string> check_history(const history& records, time_point end);

} // namespace cornelpier::testing
