#include "cornelpier/admission/on_time_reserve.hpp"

#include <algorithm>

namespace cornelpier {

namespace {

/// Part of the limit that is reserved, and the smallest limit with a reserve.
constexpr std::uint32_t reserve_divisor = 8;
constexpr std::uint32_t min_limit_with_reserve = 4;

/// A server with on-time runs starts many of them per second, so a second without any means that there are
/// none.
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
