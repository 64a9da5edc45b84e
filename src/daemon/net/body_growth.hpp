#pragma once

#include <algorithm>
#include <cstddef>
#include <string>

namespace cornelpier {

/// First capacity of a body that arrives in parts, in bytes.
inline constexpr std::size_t first_body_capacity = std::size_t{64} * 1024;

/// Makes room in a body that arrives in parts. The capacity grows fourfold until the expected size is at most
/// eight times as large as what has arrived, and then to that size. So a peer that announces a large body
/// without sending it reserves little, and old and new memory together never exceed the expected size, while
/// growth by doubling may take up to three times that size.
/// @param body that the next part is appended to.
/// @param part size of that part.
/// @param expected size of the whole body; `std::string::npos` if it is not known.
inline void reserve_for_append(std::string& body, std::size_t part, std::size_t expected) {
    constexpr std::size_t growth = 4;
    const std::size_t needed = body.size() + part;
    if (needed <= body.capacity()) {
        return;
    }
    const std::size_t next = std::max({needed, first_body_capacity, growth * body.capacity()});
    const std::size_t capacity = next >= expected / 2 ? expected : next;
    body.reserve(std::max(needed, capacity));
}

} // namespace cornelpier
