#pragma once

#include "cornelpier/entry/call_state.hpp"

#include <string>

namespace cornelpier {

/// @return the attempts of a call for the log: target, status or end, whether it was a hedge, and start and
/// end time in milliseconds since the call arrived.
std::string describe_attempts(const call_state& call);

} // namespace cornelpier
