#include "cornelpier/admission/contention_meter.hpp"

#include <algorithm>

namespace cornelpier {

namespace {

/// Number of runs after which the ratio of a bin is used.
constexpr std::uint32_t min_samples = 8;

/// Weight of a run in the moving average of its bin.
constexpr double sample_weight = 0.1;

/// Upper bound of a sample, so that a single stuck run does not count as contention.
constexpr double max_ratio = 4;

/// Occupancies below this bin count as uncontended.
constexpr std::size_t first_contended_bin = 6;

/// Servers that slow down near capacity do so above about four fifths of their slots.
constexpr std::uint32_t uncontended_numerator = 4;
constexpr std::uint32_t uncontended_denominator = 5;

std::uint32_t uncontended_slots(std::uint32_t slots) {
    return slots * uncontended_numerator / uncontended_denominator;
}

/// Cold starts and the return of callers after an outage take some seconds. A server without contention must
/// not lose a fifth of its slots for longer.
constexpr duration max_learning_time = std::chrono::seconds{10};

/// Slowdowns below this are variance of the work.
constexpr double min_slowdown = 1.25;

} // namespace

std::size_t contention_meter::bin_of(std::uint32_t running, std::uint32_t slots) {
    const auto position = std::size_t{running - 1} * bin_count / std::max(slots, 1U);
    return std::min(position, bin_count - 1);
}

void contention_meter::add(std::uint32_t running, std::uint32_t slots, duration took, duration expected) {
    if (running == 0 || expected <= duration::zero()) {
        return;
    }
    const double ratio = std::min(to_seconds(took) / to_seconds(expected), max_ratio);
    bin& it = m_bins.at(bin_of(running, slots));
    ++it.samples;
    const double weight = std::max(sample_weight, 1.0 / it.samples);
    it.ratio += weight * (ratio - it.ratio);
}

double contention_meter::uncontended_ratio() const {
    double sum = 0;
    std::uint32_t samples = 0;
    for (std::size_t i = 0; i < first_contended_bin; ++i) {
        sum += m_bins.at(i).ratio * m_bins.at(i).samples;
        samples += m_bins.at(i).samples;
    }
    return samples < min_samples ? 1 : std::max(sum / samples, 1e-3);
}

double contention_meter::slowdown(std::uint32_t running, std::uint32_t slots) const {
    const auto index = running == 0 ? 0 : bin_of(running, slots);
    const bin& it = m_bins.at(index);
    if (index < first_contended_bin || it.samples < min_samples) {
        return 1;
    }
    const double result = it.ratio / uncontended_ratio();
    return result < min_slowdown ? 1 : result;
}

bool contention_meter::has_high_occupancy_samples(std::uint32_t slots) const {
    const auto first = bin_of(uncontended_slots(slots) + 1, slots);
    return std::any_of(m_bins.begin() + static_cast<std::ptrdiff_t>(first), m_bins.end(),
                       [](const bin& it) { return it.samples >= min_samples; });
}

std::uint32_t contention_meter::best_limit(std::uint32_t slots, duration age) const {
    const bool is_learning =
        age < max_learning_time && slots >= uncontended_denominator && !has_high_occupancy_samples(slots);
    return is_learning ? std::min(uncontended_slots(slots), best_limit(slots)) : best_limit(slots);
}

std::uint32_t contention_meter::best_limit(std::uint32_t slots) const {
    std::uint32_t best = slots;
    double best_throughput = slots / slowdown(slots, slots);
    for (std::uint32_t limit = slots - 1; limit > slots / 2; --limit) {
        const double throughput = limit / slowdown(limit, slots);
        if (throughput > best_throughput) {
            best_throughput = throughput;
            best = limit;
        }
    }
    return best;
}

} // namespace cornelpier
