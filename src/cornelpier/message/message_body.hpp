#pragma once

#include "cornelpier/message/codec.hpp"

#include <cstddef>
#include <optional>
#include <string>

namespace cornelpier {

/// Takes the body out of a run request or response, so that it can be sent without being encoded.
/// @param min_size smaller bodies stay in the message.
/// @return the body, or null if the message has none of that size.
shared_body detach_body(node_message& message, std::size_t min_size);

/// Puts a body back into a message from which it was detached.
/// @return false if the message has no place for a body, or already has one.
bool attach_body(node_message& message, std::string body);

/// @return the attempt that a message concerns, or nothing.
std::optional<attempt_id> attempt_of(const node_message& message);

} // namespace cornelpier
