#pragma once

#include "cornelpier/base/result.hpp"
#include "cornelpier/message/control_messages.hpp"
#include "cornelpier/message/traffic_messages.hpp"

#include <string>
#include <string_view>
#include <variant>

namespace cornelpier {

/// A message of either kind.
using node_message = std::variant<traffic_message, control_message>;

/// @return the message as one CBOR item.
std::string encode(const traffic_message& message);

/// @copydoc encode(const traffic_message&)
std::string encode(const control_message& message);

/// @param bytes one CBOR item.
/// @return the message, or an error for anything that `encode` does not write.
result<node_message> decode(std::string_view bytes);

} // namespace cornelpier
