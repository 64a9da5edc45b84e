#pragma once

#include <string_view>

namespace cornelpier {

/// A line that begins with a blank continues the value of the field before it (obsolete line folding), or is
/// a field of its own to recipients that do not know that.
/// @param head of a message, or complete lines of one.
/// @return whether it contains such a line.
inline bool has_folded_line(std::string_view head) {
    return head.find("\r\n ") != std::string_view::npos || head.find("\r\n\t") != std::string_view::npos;
}

} // namespace cornelpier
