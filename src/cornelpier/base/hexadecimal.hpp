#pragma once

#include <cstdint>
#include <string>

namespace cornelpier {

/// @return the value in lower-case hexadecimal digits, without leading zeros.
std::string to_hexadecimal(std::uint64_t value);

} // namespace cornelpier
