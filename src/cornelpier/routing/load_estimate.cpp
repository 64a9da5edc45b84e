#include "cornelpier/routing/load_estimate.hpp"

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace cornelpier {

namespace {

// Queues change within milliseconds, service times of a slowed server stay longer.
constexpr duration wait_relevance = std::chrono::milliseconds{100};
constexpr duration service_relevance = std::chrono::seconds{2};

// A busy server is somewhat slower before a queue forms. This share of the service time at full
// concurrency keeps entries from filling the fastest target up to its limit.
constexpr double crowding_weight = 0.25;

duration scale(duration value, double factor) {
    return duration{static_cast<duration::rep>(static_cast<double>(value.count()) * factor)};
}

duration blend(duration own, duration average, duration age, duration relevance) {
    const double weight = to_seconds(relevance) / to_seconds(relevance + std::max(age, duration::zero()));
    return scale(own, weight) + scale(average, 1 - weight);
}

double utilisation(const reading& load, std::uint32_t own_runs) {
    const double runs = static_cast<double>(load.in_flight) + load.queued + own_runs;
    return std::min(1.0, runs / std::max<double>(load.limit, 1));
}

/// Wait that own runs cause which the reading does not contain.
duration added_wait(const reading& load, std::uint32_t own_runs) {
    const std::uint32_t known = load.in_flight + load.queued;
    const std::uint32_t free = load.limit > known ? load.limit - known : 0;
    if (own_runs < free || load.limit == 0) {
        return duration::zero();
    }
    return load.service_time * (own_runs - free) / load.limit;
}

} // namespace

load_estimate average_load(std::span<const target_load* const> loads) {
    load_estimate sum;
    std::int64_t n = 0;
    for (const auto* it : loads) {
        if (it == nullptr || !it->last) {
            continue;
        }
        sum.wait += it->last->expected_wait;
        sum.service += it->last->service_time;
        ++n;
    }
    return n == 0 ? sum : load_estimate{sum.wait / n, sum.service / n};
}

load_estimate estimate_load(const target_load* load, const load_estimate& average, duration distance,
                            time_point now) {
    // An unknown target is taken for idle: its answer or refusal brings a reading for the price of a hop.
    if (load == nullptr || !load->last) {
        const auto own_runs = load == nullptr ? 0 : static_cast<std::int64_t>(load->own_runs.size());
        return {scale(average.service, crowding_weight) * own_runs, average.service};
    }

    const reading& last = *load->last;
    const duration age = now - load->received_at;
    const std::uint32_t own_runs = load->own_runs_since(load->received_at - distance);
    const double crowding = utilisation(last, own_runs);

    load_estimate result;
    result.service = blend(last.service_time, average.service, age, service_relevance);
    result.wait = blend(last.expected_wait, average.wait, age, wait_relevance) + added_wait(last, own_runs) +
                  scale(result.service, crowding_weight * crowding * crowding);
    return result;
}

} // namespace cornelpier
