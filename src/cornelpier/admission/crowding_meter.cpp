#include "cornelpier/admission/crowding_meter.hpp"

#include <algorithm>

namespace cornelpier {

namespace {

/// Runs after which the ratio of an occupancy is believed.
constexpr std::uint32_t least_samples = 8;

/// Weight of a run in the moving average of its occupancy.
constexpr double run_weight = 0.1;

/// A single stuck run is no sign of crowding.
constexpr double largest_ratio = 4;

/// Occupancies below this bin are taken for uncrowded.
constexpr std::size_t first_crowded_bin = 6;

/// Servers that slow down when nearly full do so above about four fifths of their slots.
constexpr std::uint32_t quiet_numerator = 4;
constexpr std::uint32_t quiet_denominator = 5;

std::uint32_t quiet_part(std::uint32_t slots) {
    return slots * quiet_numerator / quiet_denominator;
}

/// Cold starts and the return of callers after a loss take some seconds; servers that are never crowded must
/// not go without a fifth of their slots for longer.
constexpr duration cautious_time = std::chrono::seconds{10};

/// Differences below this are variation of the work.
constexpr double least_stretch = 1.25;

} // namespace

std::size_t crowding_meter::bin_of(std::uint32_t running, std::uint32_t slots) {
    const auto position = std::size_t{running - 1} * bin_count / std::max(slots, 1U);
    return std::min(position, bin_count - 1);
}

void crowding_meter::add(std::uint32_t running, std::uint32_t slots, duration took, duration expected) {
    if (running == 0 || expected <= duration::zero()) {
        return;
    }
    const double ratio = std::min(to_seconds(took) / to_seconds(expected), largest_ratio);
    bin& it = m_bins.at(bin_of(running, slots));
    ++it.samples;
    const double weight = std::max(run_weight, 1.0 / it.samples);
    it.ratio += weight * (ratio - it.ratio);
}

double crowding_meter::base_ratio() const {
    double sum = 0;
    std::uint32_t samples = 0;
    for (std::size_t i = 0; i < first_crowded_bin; ++i) {
        sum += m_bins.at(i).ratio * m_bins.at(i).samples;
        samples += m_bins.at(i).samples;
    }
    return samples < least_samples ? 1 : std::max(sum / samples, 1e-3);
}

double crowding_meter::stretch(std::uint32_t running, std::uint32_t slots) const {
    const auto index = running == 0 ? 0 : bin_of(running, slots);
    const bin& it = m_bins.at(index);
    if (index < first_crowded_bin || it.samples < least_samples) {
        return 1;
    }
    const double result = it.ratio / base_ratio();
    return result < least_stretch ? 1 : result;
}

bool crowding_meter::has_learned(std::uint32_t slots) const {
    const auto first = bin_of(quiet_part(slots) + 1, slots);
    return std::any_of(m_bins.begin() + static_cast<std::ptrdiff_t>(first), m_bins.end(),
                       [](const bin& it) { return it.samples >= least_samples; });
}

std::uint32_t crowding_meter::best_limit(std::uint32_t slots, duration age) const {
    const bool is_cautious = age < cautious_time && slots >= quiet_denominator && !has_learned(slots);
    return is_cautious ? std::min(quiet_part(slots), best_limit(slots)) : best_limit(slots);
}

std::uint32_t crowding_meter::best_limit(std::uint32_t slots) const {
    std::uint32_t best = slots;
    double most = slots / stretch(slots, slots);
    for (std::uint32_t limit = slots - 1; limit > slots / 2; --limit) {
        const double throughput = limit / stretch(limit, slots);
        if (throughput > most) {
            most = throughput;
            best = limit;
        }
    }
    return best;
}

} // namespace cornelpier
