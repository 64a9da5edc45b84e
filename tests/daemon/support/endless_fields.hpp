#pragma once

#include <string>

namespace cornelpier::test {

/// Head of a message with short fields without end.
struct endless_fields {
    std::string head;           ///< Sent first.
    std::string repeated_bytes; ///< Sent again and again after it.
};

/// @param start first line and fields, each with its end of line.
/// @return bytes of which every read of a power of two, at least 8, ends behind the first two bytes of a
/// field, and so does every write: there Beast 1.74 forgets how much of the head it has read.
endless_fields make_endless_fields(std::string start);

} // namespace cornelpier::test
