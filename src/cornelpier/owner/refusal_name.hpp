#pragma once

#include "cornelpier/message/traffic_messages.hpp"

#include <string_view>

namespace cornelpier {

/// @return the name of the reason, as written to events.
std::string_view refusal_name(refusal reason);

} // namespace cornelpier
