#include "cornelpier/admission/late_reserve.hpp"

#include <algorithm>

namespace cornelpier {

namespace {

/// Part of the limit that is kept free, and the least limit of which anything is.
constexpr std::uint32_t reserve_divisor = 8;
constexpr std::uint32_t least_divided_limit = 4;

/// Runs in time come many times a second on a server that has any.
constexpr duration memory = std::chrono::seconds{1};

} // namespace

bool late_reserve::admits_late(std::size_t at_server, std::uint32_t limit, time_point now) const {
    const bool none_in_time = m_last_in_time == time_point::min() || now - m_last_in_time > memory;
    if (none_in_time || limit < least_divided_limit) {
        return at_server < limit;
    }
    const std::uint32_t kept = std::max(limit / reserve_divisor, 1U);
    return at_server < limit - kept;
}

} // namespace cornelpier
