#pragma once

#include <cstddef>

namespace cornelpier {

/// Largest part of an answer that waits to be parsed: a head, or the size line of a chunk with its
/// extensions. A peer in trouble may send either without end.
inline constexpr std::size_t max_unparsed_response_bytes = std::size_t{128} * 1024;

} // namespace cornelpier
