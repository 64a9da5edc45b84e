#pragma once

#include "cornelpier/base/ids.hpp"
#include "cornelpier/message/traffic_messages.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace cornelpier {

/// Identifies an attempt to callers, in the header `Cornelpier-Request`.
struct request_token {
    target_id owner;
    incarnation owner_incarnation; ///< Of the owner's process.
    attempt_id attempt;

    friend bool operator==(const request_token&, const request_token&) = default;
};

/// @return `<owner target>.<owner incarnation>.<entry incarnation>.<sequence>.<attempt>` with numbers in
/// hexadecimal.
std::string to_string(const request_token& token);

/// @param text token; the target id in it may contain dots.
/// @return the token, or nothing if the text is malformed.
std::optional<request_token> parse_request_token(std::string_view text);

} // namespace cornelpier
