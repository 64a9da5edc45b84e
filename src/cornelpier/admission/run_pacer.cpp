#include "cornelpier/admission/run_pacer.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace cornelpier {

namespace {

/// Runs that the rate allows in this time may start together after a period without runs.
constexpr duration burst_time = std::chrono::seconds{1};

/// A withdrawn limit doubles in this time.
constexpr duration lift_doubling_time = std::chrono::milliseconds{500};

/// Time after its withdrawal at which a limit ends.
constexpr duration lift_time = std::chrono::seconds{3};

/// Lowest rate from which a withdrawn limit rises.
constexpr double min_lift_start_rate = 1;

} // namespace

void run_pacer::set_limit(std::optional<rate> limit, time_point now) {
    if (limit == this->limit()) {
        return;
    }
    const bool was_limiting = interval(now).has_value();
    if (limit) {
        m_limit = limit;
        m_withdrawn_at.reset();
    } else {
        m_withdrawn_at = now;
    }
    const time_point without_credit = now + interval(now).value_or(duration::zero()) + burst_time;
    m_next = was_limiting ? std::min(m_next, without_credit) : without_credit;
}

void run_pacer::reset() {
    m_limit.reset();
    m_withdrawn_at.reset();
}

void run_pacer::set_warm_up_rate(std::optional<rate> limit, time_point now) {
    m_warm_up_rate = limit;
    m_warm_up.set_rate(limit, now);
}

void run_pacer::set_cold_until(time_point until, time_point now) {
    const bool was_cold = is_cold(now);
    m_cold_until = until;
    if (!was_cold && is_cold(now)) {
        m_warm_up.begin(now);
    }
}

std::optional<rate> run_pacer::rate_in_force(time_point now) const {
    const auto named = limit();
    if (!is_cold(now)) {
        return named;
    }
    return named && named->per_second < m_warm_up_rate->per_second ? named : m_warm_up_rate;
}

duration run_pacer::wait(std::size_t ahead, time_point now) const {
    return std::max(limit_wait(ahead, now), warm_up_wait(ahead, now));
}

duration run_pacer::warm_up_wait(std::size_t ahead, time_point now) const {
    if (!is_cold(now)) {
        return duration::zero();
    }
    return std::min({m_warm_up.wait(ahead, now), m_cold_until - now, max_wait});
}

duration run_pacer::limit_wait(std::size_t ahead, time_point now) const {
    const auto step = interval(now);
    if (!step) {
        return duration::zero();
    }
    const duration wait =
        std::max(m_next, now) + static_cast<duration::rep>(ahead) * *step - burst_time - now;
    return std::clamp(wait, duration::zero(), max_wait);
}

void run_pacer::on_start(time_point now) {
    if (const auto step = interval(now)) {
        m_next = std::max(m_next, now) + *step;
    }
    m_warm_up.on_start(now, is_cold(now));
}

std::optional<duration> run_pacer::interval(time_point now) const {
    if (!m_limit) {
        return std::nullopt;
    }
    double per_second = m_limit->per_second;
    if (m_withdrawn_at) {
        const duration lifting = now - *m_withdrawn_at;
        if (lifting >= lift_time) {
            return std::nullopt;
        }
        per_second = std::max(per_second, min_lift_start_rate) *
                     std::exp2(to_seconds(lifting) / to_seconds(lift_doubling_time));
    }
    const double longest = to_seconds(m_trial_interval.value_or(2 * max_wait));
    return from_seconds(per_second * longest > 1 ? 1 / per_second : longest);
}

} // namespace cornelpier
