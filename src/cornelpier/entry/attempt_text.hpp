#pragma once

#include "cornelpier/entry/call_state.hpp"

#include <string>

namespace cornelpier {

/// @return the attempts of a call for the log: target, how the attempt ended, begin and end in milliseconds
/// after the call arrived, and whether it was a hedge.
std::string describe_attempts(const call_state& call);

} // namespace cornelpier
