#include "cornelpier/base/units.hpp"

#include <array>
#include <charconv>

namespace cornelpier {

std::string to_text(rate value) {
    std::array<char, 32> buf{};
    const auto [end, ec] = std::to_chars(buf.data(), buf.data() + buf.size(), value.per_second);
    return ec == std::errc{} ? std::string{buf.data(), end} : std::string{};
}

} // namespace cornelpier
