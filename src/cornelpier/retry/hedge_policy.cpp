#include "cornelpier/retry/hedge_policy.hpp"

#include <algorithm>
#include <cmath>

namespace cornelpier {

namespace {

constexpr double hedge_ratio = 0.05;
constexpr double max_hedge_tokens = 5;
constexpr double hedge_quantile = 0.95;
constexpr std::uint32_t min_samples = 40;
constexpr std::uint32_t max_samples = 2000; // Then all counts are halved, so that old answers lose weight.
constexpr double buckets_per_doubling = 8;

} // namespace

hedge_policy::hedge_policy() : m_budget(hedge_ratio, max_hedge_tokens, max_hedge_tokens) {}

std::size_t hedge_policy::bucket_of(duration latency) {
    const double latency_us = static_cast<double>(std::max<duration::rep>(latency.count(), 1));
    const auto bucket = static_cast<std::size_t>(std::log2(latency_us) * buckets_per_doubling);
    return std::min(bucket, bucket_count - 1);
}

duration hedge_policy::upper_bound_of(std::size_t bucket) {
    return duration{
        static_cast<duration::rep>(std::exp2(static_cast<double>(bucket + 1) / buckets_per_doubling))};
}

void hedge_policy::on_latency(duration latency) {
    ++m_buckets.at(bucket_of(latency));
    if (++m_samples >= max_samples) {
        halve_counts();
    }
}

void hedge_policy::halve_counts() {
    m_samples = 0;
    for (auto& it : m_buckets) {
        it /= 2;
        m_samples += it;
    }
}

std::optional<duration> hedge_policy::delay() const {
    return quantile(hedge_quantile);
}

std::optional<duration> hedge_policy::median() const {
    constexpr double half = 0.5;
    return quantile(half);
}

std::optional<duration> hedge_policy::quantile(double fraction) const {
    if (m_samples < min_samples) {
        return std::nullopt;
    }
    const auto rank = static_cast<std::uint32_t>(std::ceil(fraction * m_samples));
    std::uint32_t seen = 0;
    for (std::size_t i = 0; i < bucket_count; ++i) {
        seen += m_buckets.at(i);
        if (seen >= rank) {
            return upper_bound_of(i);
        }
    }
    return std::nullopt;
}

} // namespace cornelpier
