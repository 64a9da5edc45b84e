#include "cornelpier/admission/on_time_reserve.hpp"

#include <algorithm>

namespace cornelpier {

namespace {

/// Part of the limit that is kept free, and the least limit of which anything is.
constexpr std::uint32_t reserve_divisor = 8;
constexpr std::uint32_t min_limit_with_reserve = 4;

/// Runs in time come many times a second on a server that has any.
constexpr duration timely_start_window = std::chrono::seconds{1};

} // namespace

bool on_time_reserve::admits_late(std::size_t at_server, std::uint32_t limit, time_point now) const {
    const bool no_recent_timely_start =
        m_last_timely_start == time_point::min() || now - m_last_timely_start > timely_start_window;
    if (no_recent_timely_start || limit < min_limit_with_reserve) {
        return at_server < limit;
    }
    const std::uint32_t reserved = std::max(limit / reserve_divisor, 1U);
    return at_server < limit - reserved;
}

} // namespace cornelpier
