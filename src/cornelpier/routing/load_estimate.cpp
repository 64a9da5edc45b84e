#include "cornelpier/routing/load_estimate.hpp"

#include "cornelpier/admission/run_pacer.hpp"
#include "cornelpier/admission/slowness_meter.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace cornelpier {

namespace {

// Ages at which a reading and the average of the subset have equal weight. Queue lengths change within
// milliseconds, while the service time of a slowed-down server persists longer.
constexpr duration wait_half_weight_age = std::chrono::milliseconds{100};
constexpr duration service_half_weight_age = std::chrono::seconds{2};

// A busy server is somewhat slower before a queue forms. Adding this share of the service time at full
// concurrency keeps entries from filling the fastest target up to its limit.
constexpr double utilisation_weight = 0.25;

// Averages of few runs differ between equal servers, and slowdowns shorter than the age of a reading are over
// when it is used. Smaller ratios of a service time to the median of the subset are ignored.
constexpr double min_service_ratio = 2.5;

// A persistent difference counts half. If it counted in full, all fast targets would queue up to the service
// time of the slow one before it receives a run.
constexpr double service_difference_weight = 0.5;

// Servers on shared machines are slowed down for about a quarter of the time.
constexpr duration slowdown_decay_time = std::chrono::milliseconds{400};
constexpr double mean_slow_time_share = 0.2;
constexpr double percent = 100;

duration blend(duration own, duration mean, duration age, duration half_weight_age) {
    const double weight =
        to_seconds(half_weight_age) / to_seconds(half_weight_age + std::max(age, duration::zero()));
    return scale(own, weight) + scale(mean, 1 - weight);
}

double utilisation(const load_reading& load, std::uint32_t own_runs) {
    const double runs = static_cast<double>(load.in_flight) + load.queued + own_runs;
    return std::min(1.0, runs / std::max<double>(load.limit, 1));
}

/// @return the service time with a small difference to the median ignored and a large one halved.
duration damped_service_time(duration own, duration median) {
    const double ratio = to_seconds(own) / std::max(to_seconds(median), 1e-6);
    if (ratio < min_service_ratio && ratio * min_service_ratio > 1) {
        return median;
    }
    return scale(own, service_difference_weight) + scale(median, 1 - service_difference_weight);
}

/// @return wait caused by own runs that are not included in the reading.
duration added_wait(const load_reading& load, std::uint32_t own_runs) {
    const std::uint32_t known = load.in_flight + load.queued;
    const std::uint32_t free = load.limit > known ? load.limit - known : 0;
    if (own_runs < free || load.limit == 0) {
        return duration::zero();
    }
    return load.service_time * (own_runs - free) / load.limit;
}

/// @return wait at a server that limits its rate. It passes as fast as time, unlike a wait for a slot, and
/// each own run that is not included in the reading adds the time between two runs.
duration paced_wait(const load_reading& load, std::uint32_t own_runs, duration age) {
    const duration wait = std::max(load.expected_wait - age, duration::zero());
    const double per_second = load.rate_limit->per_second;
    const double added = per_second > 0 ? own_runs / per_second : to_seconds(run_pacer::max_wait);
    return std::min(wait + from_seconds(std::min(added, to_seconds(run_pacer::max_wait))),
                    run_pacer::max_wait);
}

} // namespace

load_estimate average_load(std::span<const target_load* const> loads) {
    duration wait{};
    duration::rep waits = 0;
    std::vector<duration> service_times;
    for (const auto* it : loads) {
        if (it == nullptr || !it->last) {
            continue;
        }
        service_times.push_back(it->last->service_time);
        // The wait for a rate limit says nothing about the other servers.
        if (!it->last->rate_limit) {
            wait += it->last->expected_wait;
            ++waits;
        }
    }
    if (service_times.empty()) {
        return {};
    }
    const auto median = service_times.begin() + static_cast<std::ptrdiff_t>((service_times.size() - 1) / 2);
    std::ranges::nth_element(service_times, median);
    return {wait / std::max<duration::rep>(waits, 1), *median};
}

load_estimate estimate_load(const target_load* load, const load_estimate& average, duration round_trip,
                            time_point now) {
    // A target without a reading is assumed to be idle: its answer or refusal brings a reading at the cost of
    // one hop.
    if (load == nullptr || !load->last) {
        const auto own_runs = load == nullptr ? 0 : static_cast<std::int64_t>(load->own_runs.size());
        return {scale(average.service, utilisation_weight) * own_runs, average.service};
    }

    const load_reading& last = *load->last;
    const duration age = now - load->received_at;
    const std::uint32_t own_runs = load->own_runs_since(load->received_at - round_trip);
    const double utilised = utilisation(last, own_runs);

    load_estimate result;
    result.service = damped_service_time(
        blend(last.service_time, average.service, age, service_half_weight_age), average.service);
    const duration wait =
        last.rate_limit
            ? paced_wait(last, own_runs, age)
            : blend(last.expected_wait, average.wait, age, wait_half_weight_age) + added_wait(last, own_runs);
    result.wait = wait + scale(result.service, utilisation_weight * utilised * utilised);
    return result;
}

duration expected_slowdown_delay(const target_load* load, duration work, time_point now) {
    if (load == nullptr || !load->last) {
        return scale(mean_slowdown_remaining, mean_slow_time_share);
    }
    const double slowness = load->last->slowness_percent / percent;
    const duration reported = std::min(scale(work, std::max(slowness, 1.0) - 1), mean_slowdown_remaining);
    const double weight = std::exp(-to_seconds(now - load->received_at) / to_seconds(slowdown_decay_time));
    return scale(reported, weight) + scale(mean_slowdown_remaining, mean_slow_time_share * (1 - weight));
}

} // namespace cornelpier
