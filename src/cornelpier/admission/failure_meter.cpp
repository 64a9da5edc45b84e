#include "cornelpier/admission/failure_meter.hpp"

#include <cmath>

namespace cornelpier {

namespace {

constexpr double sample_weight = 0.2;
constexpr double half_life_seconds = 1;

} // namespace

void failure_meter::on_unreachable(time_point now) {
    update(1, now);
}

void failure_meter::on_error(time_point now) {
    const double before = failure_rate(now);
    update(before + (sample_weight * (1 - before)), now);
}

void failure_meter::on_success(time_point now) {
    update(failure_rate(now) * (1 - sample_weight), now);
}

double failure_meter::failure_rate(time_point now) const {
    return m_failure_rate * std::exp2(-to_seconds(now - m_updated_at) / half_life_seconds);
}

void failure_meter::update(double new_rate, time_point now) {
    m_failure_rate = new_rate;
    m_updated_at = now;
}

} // namespace cornelpier
