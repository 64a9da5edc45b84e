#include "cornelpier/base/hexadecimal.hpp"

#include <array>
#include <charconv>
#include <cstddef>

namespace cornelpier {

std::string to_hexadecimal(std::uint64_t value) {
    constexpr int base = 16;
    constexpr std::size_t max_digits = 16;
    std::array<char, max_digits> buf{};
    char* const end = std::to_chars(buf.data(), buf.data() + buf.size(), value, base).ptr;
    return {buf.data(), end};
}

} // namespace cornelpier
