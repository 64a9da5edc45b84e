#pragma once

#include <cstddef>
#include <cstdint>

namespace cornelpier {

/// Largest head of a response, in bytes.
inline constexpr std::uint32_t max_response_header_bytes = 32 * 1024;

/// Size of the buffer for unparsed response bytes. It bounds a header or a chunk size line with its
/// extensions, which a faulty peer may send without end.
inline constexpr std::size_t max_unparsed_response_bytes = std::size_t{128} * 1024;

} // namespace cornelpier
