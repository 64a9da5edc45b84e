#pragma once

#include <cstddef>

namespace cornelpier {

/// Size of the buffer for unparsed response bytes. It bounds a header or a chunk size line with its
/// extensions, which a faulty peer may send without end.
inline constexpr std::size_t max_unparsed_response_bytes = std::size_t{128} * 1024;

} // namespace cornelpier
