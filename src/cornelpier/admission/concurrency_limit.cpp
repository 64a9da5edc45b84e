#include "cornelpier/admission/concurrency_limit.hpp"

#include <algorithm>

namespace cornelpier {

namespace {

/// Service times up to this multiple of the baseline are variance or a short slowdown, not overload. With 2,
/// servers slowed by a factor of 2 to 4 for less than half a second had free slots while requests waited.
constexpr double tolerated_slowdown = 3;

/// Lower bound of the gradient, so that one burst of slow runs does not shut off the server.
constexpr double min_gradient = 0.2;

/// Number of runs by which the limit may grow per update, before smoothing.
constexpr double max_growth_runs = 1;

constexpr double smoothing_factor = 0.2;

} // namespace

concurrency_limit::concurrency_limit(std::uint32_t slots)
    : m_slots(std::max(slots, 1U)), m_limit(static_cast<double>(m_slots)) {}

void concurrency_limit::set_slots(std::uint32_t slots) {
    const bool at_bound = value() == m_slots;
    m_slots = std::max(slots, 1U);
    m_limit = at_bound ? m_slots : std::min<double>(m_limit, m_slots);
}

void concurrency_limit::update(duration average, duration baseline, std::uint32_t in_flight) {
    const double average_us = std::max<double>(static_cast<double>(average.count()), 1);
    const double baseline_us = std::max<double>(static_cast<double>(baseline.count()), 1);
    const double gradient = std::clamp(tolerated_slowdown * baseline_us / average_us, min_gradient, 1.0);

    // Below half of the limit, the service time gives no evidence that a higher limit is sustainable.
    const bool near_limit = 2 * in_flight >= value();
    const double next_limit = m_limit * gradient + max_growth_runs;
    if (next_limit > m_limit && !near_limit) {
        return;
    }
    m_limit += smoothing_factor * (next_limit - m_limit);
    m_limit = std::clamp<double>(m_limit, 1, m_slots);
}

std::uint32_t concurrency_limit::value() const {
    return static_cast<std::uint32_t>(m_limit);
}

} // namespace cornelpier
