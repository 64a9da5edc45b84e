#pragma once

#include "cornelpier/message/traffic_messages.hpp"

#include <string_view>

namespace cornelpier {

/// @return the identifier of the reason, for events.
std::string_view refusal_name(refusal reason);

} // namespace cornelpier
