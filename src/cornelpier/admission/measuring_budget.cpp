#include "cornelpier/admission/measuring_budget.hpp"

#include <algorithm>
#include <cmath>

namespace cornelpier {

namespace {

constexpr duration one_second = std::chrono::seconds{1};

/// Rates below this count as zero, since their window would not fit into a duration.
constexpr double min_rate_per_second = 1e-6;

/// Part of a rate that is reserved for the first window of a process, and the smallest rate with such a part.
constexpr std::size_t startup_divisor = 8;
constexpr std::size_t min_rate_with_startup_allowance = 24;

} // namespace

void measuring_budget::set_rate(rate limit) {
    m_window = one_second;
    m_startup_allowance = 0;
    if (limit.per_second < min_rate_per_second) {
        m_per_window = 0;
        return;
    }
    if (limit.per_second >= 1) {
        const auto whole = static_cast<std::size_t>(limit.per_second);
        m_startup_allowance = whole < min_rate_with_startup_allowance ? 0 : whole / startup_divisor;
        m_per_window = whole - m_startup_allowance;
        return;
    }
    m_per_window = 1;
    m_window = duration{static_cast<duration::rep>(std::ceil(1e6 / limit.per_second))};
}

bool measuring_budget::try_take(time_point now) {
    const auto available = next_available(now);
    if (!available || *available > now) {
        return false;
    }
    discard_old(now);
    m_taken.push_back(now);
    return true;
}

std::optional<time_point> measuring_budget::next_available(time_point now) const {
    if (m_per_window == 0) {
        return std::nullopt;
    }
    if (now <= m_start + m_window && m_taken.size() < m_startup_allowance) {
        return now;
    }
    // Windows include both ends: two measurements exactly one window apart are in the same window.
    constexpr duration clock_tick{1};
    time_point earliest = std::max(now, m_start + m_window + clock_tick);
    if (m_taken.size() >= m_per_window) {
        const time_point blocking = m_taken[m_taken.size() - m_per_window];
        earliest = std::max(earliest, blocking + m_window + clock_tick);
    }
    return earliest;
}

std::size_t measuring_budget::taken_last_second(time_point now) const {
    return static_cast<std::size_t>(
        std::ranges::count_if(m_taken, [&](time_point it) { return it + one_second >= now; }));
}

void measuring_budget::discard_old(time_point now) {
    // The latest measurement is kept at any age, since a lower rate may lengthen the window.
    while (m_taken.size() > 1 && m_taken.front() + one_second < now) {
        m_taken.pop_front();
    }
}

} // namespace cornelpier
