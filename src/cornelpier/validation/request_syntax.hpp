#pragma once

#include <string_view>

namespace cornelpier {

/// Characters of a Host label that selects a service, in lower case. Callers with another Host are refused.
constexpr bool is_host_label_character(char c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '_';
}

/// Characters of a request target. Callers with another target are refused.
constexpr bool is_target_character(char c) {
    return c > ' ' && c < '\x7f' && c != '#' && c != '\\';
}

/// @return whether a Host label in lower case consists of allowed characters.
bool is_host_label(std::string_view label);

/// @return whether a request target can begin with the text.
bool is_target_prefix(std::string_view text);

} // namespace cornelpier
