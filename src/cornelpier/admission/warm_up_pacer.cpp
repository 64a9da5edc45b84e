#include "cornelpier/admission/warm_up_pacer.hpp"

#include <algorithm>
#include <utility>

namespace cornelpier {

namespace {

/// Longest time between two runs. Lower rates have the same effect during a warm-up of at most ten minutes.
constexpr duration max_step = std::chrono::minutes{10};

} // namespace

/// What the rate gives in the length of the window, the burst, and one for the start at its beginning.
std::size_t warm_up_pacer::starts_per_window(rate limit) {
    const double paced =
        std::min(limit.per_second * to_seconds(window), static_cast<double>(max_recorded_starts));
    return std::min(static_cast<std::size_t>(paced) + burst + 1, max_recorded_starts);
}

void warm_up_pacer::set_rate(std::optional<rate> limit, time_point now) {
    if (limit == m_rate) {
        return;
    }
    m_rate = limit;
    const std::size_t before = std::exchange(m_max_starts, limit ? starts_per_window(*limit) : 0);
    if (m_max_starts > before) {
        m_hold_until = now + window;
    }
    while (m_starts.size() > m_max_starts) {
        m_starts.pop_front();
    }
}

void warm_up_pacer::begin(time_point now) {
    m_next = std::max(now, m_hold_until);
}

void warm_up_pacer::on_start(time_point now, bool cold) {
    if (!m_rate) {
        return;
    }
    m_starts.push_back(now);
    if (m_starts.size() > m_max_starts) {
        m_starts.pop_front();
    }
    if (cold) {
        m_next = std::max(m_next, now) + step();
    }
}

duration warm_up_pacer::wait(std::size_t ahead, time_point now) const {
    if (!m_rate) {
        return duration::zero();
    }
    const auto early = static_cast<duration::rep>(ahead) - static_cast<duration::rep>(burst);
    const time_point paced = std::max(m_next, now) + early * step();
    return std::max({paced, m_hold_until, window_opens_at(ahead), now}) - now;
}

duration warm_up_pacer::step() const {
    const double per_second = m_rate->per_second;
    return per_second * to_seconds(max_step) > 1 ? from_seconds(1 / per_second) : max_step;
}

/// The pace accounts for the runs ahead that do not fit into one window.
time_point warm_up_pacer::window_opens_at(std::size_t ahead) const {
    const std::size_t counted = m_starts.size() + ahead;
    if (m_starts.empty() || counted < m_max_starts) {
        return time_point::min();
    }
    const std::size_t blocking = std::min(counted - m_max_starts, m_starts.size() - 1);
    return m_starts[blocking] + window;
}

} // namespace cornelpier
