#include "cornelpier/admission/load_meter.hpp"

#include <algorithm>

namespace cornelpier {

void load_meter::configure(std::uint32_t slots, duration deadline) {
    m_limit.set_slots(slots);
    m_max_failure_penalty = deadline / 2;
}

void load_meter::on_answered(duration took, bool error, std::uint32_t in_flight, time_point now) {
    if (error) {
        m_failures.on_error(now);
    } else {
        m_failures.on_success(now);
    }
    m_service_time.add_completed(took, error);

    // A fast error gives no information about the capacity of the server.
    if (!error) {
        update_limit(in_flight);
    }
}

void load_meter::on_incomplete(duration age, std::uint32_t in_flight) {
    if (age <= m_service_time.average()) {
        return;
    }
    m_service_time.add_incomplete(age);
    update_limit(in_flight);
}

void load_meter::update_limit(std::uint32_t in_flight) {
    if (m_adaptive) {
        m_limit.update(m_service_time.average(), m_service_time.baseline(), in_flight);
    }
}

duration load_meter::current_service_time(const server_load& load) const {
    return std::max(m_service_time.average(), load.mean_age);
}

duration load_meter::expected_wait(const server_load& load, std::size_t ahead) const {
    const auto runs = static_cast<duration::rep>(load.in_flight + ahead + 1);
    const auto limit = static_cast<duration::rep>(m_limit.value());
    if (runs <= limit) {
        return duration::zero();
    }
    return current_service_time(load) * (runs - limit) / limit;
}

duration load_meter::reported_wait(const server_load& load, std::size_t ahead, time_point now) const {
    return std::max(expected_wait(load, ahead), failure_penalty(now));
}

duration load_meter::failure_penalty(time_point now) const {
    // Squaring the rate makes a single error among many successes negligible.
    const double failure_rate = m_failures.failure_rate(now);
    return from_seconds(to_seconds(m_max_failure_penalty) * failure_rate * failure_rate);
}

duration load_meter::backlog_time(const server_load& load, std::size_t queued) const {
    const auto runs = static_cast<duration::rep>(load.in_flight + queued);
    return current_service_time(load) * runs / static_cast<duration::rep>(m_limit.value());
}

} // namespace cornelpier
