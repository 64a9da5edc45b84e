#include "cornelpier/admission/measuring_budget.hpp"

#include <algorithm>
#include <cmath>

namespace cornelpier {

namespace {

constexpr duration one_second = std::chrono::seconds{1};

/// Rates below this count as none; the window would not fit a duration.
constexpr double least_rate = 1e-6;

/// Part of a rate that is kept for the first window of a process, and the least rate of which one is kept.
constexpr std::size_t start_divisor = 8;
constexpr std::size_t least_divided_rate = 24;

} // namespace

void measuring_budget::set_rate(rate limit) {
    m_window = one_second;
    m_at_start = 0;
    if (limit.per_second < least_rate) {
        m_per_window = 0;
        return;
    }
    if (limit.per_second >= 1) {
        const auto whole = static_cast<std::size_t>(limit.per_second);
        m_at_start = whole < least_divided_rate ? 0 : whole / start_divisor;
        m_per_window = whole - m_at_start;
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
    if (now <= m_start + m_window && m_taken.size() < m_at_start) {
        return now;
    }
    // Windows are closed: two measurements exactly one window apart share one.
    constexpr duration after{1};
    time_point earliest = std::max(now, m_start + m_window + after);
    if (m_taken.size() >= m_per_window) {
        const time_point blocking = m_taken[m_taken.size() - m_per_window];
        earliest = std::max(earliest, blocking + m_window + after);
    }
    return earliest;
}

std::size_t measuring_budget::taken_last_second(time_point now) const {
    return static_cast<std::size_t>(
        std::ranges::count_if(m_taken, [&](time_point it) { return it + one_second >= now; }));
}

void measuring_budget::discard_old(time_point now) {
    // The latest measurement is kept regardless of its age: a lower rate may make the window longer.
    while (m_taken.size() > 1 && m_taken.front() + one_second < now) {
        m_taken.pop_front();
    }
}

} // namespace cornelpier
