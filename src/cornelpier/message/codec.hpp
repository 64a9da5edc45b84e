#pragma once

#include "cornelpier/base/result.hpp"
#include "cornelpier/message/control_messages.hpp"
#include "cornelpier/message/traffic_messages.hpp"
#include "cornelpier/timeline/hybrid_clock.hpp"

#include <string>
#include <string_view>
#include <variant>

namespace cornelpier {

/// A message of either kind.
using node_message = std::variant<traffic_message, control_message>;

/// A message with the sender's hybrid clock.
struct stamped_message {
    node_message message;
    hybrid_timestamp stamp; ///< Zero if the sender put none on it.
};

/// @param stamp orders log events of sender and receiver; zero for none.
/// @return the message as one CBOR item.
std::string encode(const traffic_message& message, hybrid_timestamp stamp = {});

/// @copydoc encode(const traffic_message&, hybrid_timestamp)
std::string encode(const control_message& message, hybrid_timestamp stamp = {});

/// @param bytes one CBOR item.
/// @return the message, or an error for anything that `encode` does not write.
result<node_message> decode(std::string_view bytes);

/// As `decode`, with the stamp.
result<stamped_message> decode_stamped(std::string_view bytes);

} // namespace cornelpier
