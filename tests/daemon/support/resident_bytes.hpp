#pragma once

#include <cstddef>

namespace cornelpier::test {

/// @return the memory that this process occupies, in bytes.
std::size_t resident_bytes();

} // namespace cornelpier::test
