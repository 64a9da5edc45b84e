#pragma once

#include <cstddef>
#include <string_view>

namespace cornelpier {

/// Deepest nesting of documents and messages from outside the process. Copying, comparing and writing a
/// document recurse, and so does parsing CBOR; a document of some hundred thousand levels would use up the
/// stack.
inline constexpr std::size_t max_nesting = 64;

/// @param text JSON, possibly malformed.
/// @return whether arrays and objects are nested deeper than `max_nesting` anywhere in it.
bool is_json_too_deep(std::string_view text);

/// @param bytes one CBOR item, possibly malformed.
/// @return whether items are nested deeper than `max_nesting` before the first malformed byte.
bool is_cbor_too_deep(std::string_view bytes);

} // namespace cornelpier
