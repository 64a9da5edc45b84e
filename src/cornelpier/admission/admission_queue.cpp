#include "cornelpier/admission/admission_queue.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>
#include <numbers>

namespace cornelpier {

namespace {

/// Standard deviation of the work of a route, as a share of its mean.
constexpr double work_variation = 0.3;

double chance_in_time(duration slack, duration work) {
    const double deviations = to_seconds(slack) / (to_seconds(work) * work_variation);
    return std::erfc(-deviations / std::numbers::sqrt2) / 2;
}

} // namespace

double gain_by_starting(duration slack, duration work, duration backlog) {
    if (work <= duration::zero() || backlog <= duration::zero()) {
        return 0;
    }
    return chance_in_time(slack, work) - chance_in_time(slack - backlog, work);
}

admission_queue::offer_result admission_queue::offer(run_id id, request_class priority,
                                                     time_point latest_start, time_point late_after,
                                                     duration work) {
    offer_result result;
    if (!accepts(priority)) {
        return result;
    }
    if (size() >= m_capacity) {
        result.shed = m_order.rbegin()->second.id;
        remove(*result.shed);
    }
    const position place{priority, latest_start, ++m_arrivals};
    m_order.emplace(place, entry{id, late_after, work});
    m_positions.emplace(id, place);
    result.accepted = true;
    return result;
}

std::size_t admission_queue::in_time_of_class(places::const_iterator first, places::const_iterator last,
                                              time_point now) {
    const auto priority = std::get<request_class>(first->first);
    std::size_t n = 0;
    for (; first != last && std::get<request_class>(first->first) == priority; ++first) {
        n += first->second.late_after >= now ? 1 : 0;
    }
    return n;
}

std::optional<run_id> admission_queue::next(time_point now, duration per_start) const {
    if (m_order.empty()) {
        return std::nullopt;
    }
    auto best = std::ranges::find_if(m_order, [now](const auto& it) { return it.second.late_after >= now; });
    if (best == m_order.end()) {
        return m_order.begin()->second.id;
    }

    const auto priority = std::get<request_class>(best->first);
    const duration backlog =
        per_start * static_cast<duration::rep>(in_time_of_class(best, m_order.end(), now) - 1);
    const auto gain = [&](const auto& it) {
        return gain_by_starting(std::get<time_point>(it.first) - now, it.second.work, backlog);
    };
    for (auto it = std::next(best); it != m_order.end() && std::get<request_class>(it->first) == priority;
         ++it) {
        if (it->second.late_after >= now && gain(*it) > gain(*best)) {
            best = it;
        }
    }
    return best->second.id;
}

bool admission_queue::remove(run_id id) {
    const auto it = m_positions.find(id);
    if (it == m_positions.end()) {
        return false;
    }
    m_order.erase(it->second);
    m_positions.erase(it);
    return true;
}

std::size_t admission_queue::ahead_of(request_class priority, time_point latest_start) const {
    const position after{priority, latest_start, std::numeric_limits<std::uint64_t>::max()};
    return static_cast<std::size_t>(std::distance(m_order.begin(), m_order.upper_bound(after)));
}

std::size_t admission_queue::ahead_of(request_class priority, time_point latest_start, duration work,
                                      time_point now, duration per_start) const {
    const auto is_ahead = [&](const auto& it, duration backlog) {
        const auto other = std::get<request_class>(it.first);
        if (it.second.late_after < now || other > priority) {
            return false;
        }
        if (other < priority) {
            return true;
        }
        const auto start = std::get<time_point>(it.first);
        const double gain = gain_by_starting(start - now, it.second.work, backlog);
        const double own_gain = gain_by_starting(latest_start - now, work, backlog);
        return gain == own_gain ? start <= latest_start : gain > own_gain;
    };
    const auto same_class = std::ranges::count_if(m_order, [&](const auto& it) {
        return std::get<request_class>(it.first) == priority && it.second.late_after >= now;
    });
    const duration backlog = per_start * static_cast<duration::rep>(same_class);
    return static_cast<std::size_t>(
        std::ranges::count_if(m_order, [&](const auto& it) { return is_ahead(it, backlog); }));
}

std::size_t admission_queue::in_time(time_point now) const {
    return static_cast<std::size_t>(
        std::ranges::count_if(m_order, [now](const auto& it) { return it.second.late_after >= now; }));
}

bool admission_queue::accepts(request_class priority) const {
    if (size() < m_capacity) {
        return true;
    }
    return !m_order.empty() && std::get<request_class>(m_order.rbegin()->first) > priority;
}

} // namespace cornelpier
