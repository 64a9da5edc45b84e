#pragma once

#include <algorithm>
#include <cstddef>
#include <string>

namespace cornelpier {

/// First capacity of a body that arrives in parts, in bytes.
inline constexpr std::size_t first_body_capacity = std::size_t{64} * 1024;

/// Growth of a body's capacity at a time.
inline constexpr std::size_t body_growth_factor = 4;

/// @param capacity of the body now.
/// @param needed bytes that it has to hold next.
/// @param expected largest size that it may reach; `std::string::npos` if it is not known.
/// @return its next capacity: four times the present one, and the expected size once that is at most twice as
/// large. So a peer that announces a large body without sending it reserves little, and old and new memory
/// together never exceed the expected size, while growth by doubling may take up to three times that size.
constexpr std::size_t next_body_capacity(std::size_t capacity, std::size_t needed, std::size_t expected) {
    const std::size_t next = std::max(needed, body_growth_factor * capacity);
    return next >= expected / 2 ? std::max(needed, expected) : next;
}

/// Makes room in a body that arrives in parts.
/// @param body that the next part is appended to.
/// @param part size of that part.
/// @param expected see `next_body_capacity`.
inline void reserve_for_append(std::string& body, std::size_t part, std::size_t expected) {
    const std::size_t needed = body.size() + part;
    if (needed > body.capacity()) {
        constexpr std::size_t least_capacity = first_body_capacity / body_growth_factor;
        body.reserve(next_body_capacity(std::max(body.capacity(), least_capacity), needed, expected));
    }
}

} // namespace cornelpier
