#pragma once

#include "cornelpier/base/result.hpp"
#include "cornelpier/message/control_messages.hpp"
#include "cornelpier/message/traffic_messages.hpp"
#include "cornelpier/timeline/hybrid_clock.hpp"

#include <string>
#include <string_view>
#include <variant>

namespace cornelpier {

/// Traffic or control message.
using node_message = std::variant<traffic_message, control_message>;

/// A message with the hybrid timestamp of its sender.
struct stamped_message {
    node_message message;
    hybrid_timestamp stamp; ///< Zero if the sender set none.
};

/// Encodes a message.
/// @param stamp orders log events of sender and receiver; zero for none.
/// @return one CBOR item.
std::string encode(const traffic_message& message, hybrid_timestamp stamp = {});

/// @copydoc encode(const traffic_message&, hybrid_timestamp)
std::string encode(const control_message& message, hybrid_timestamp stamp = {});

/// Decodes a message.
/// @param bytes one CBOR item.
/// @return the message, or an error if the bytes are not an encoded message.
result<node_message> decode(std::string_view bytes);

/// Like `decode`, but keeps the timestamp.
result<stamped_message> decode_stamped(std::string_view bytes);

} // namespace cornelpier
