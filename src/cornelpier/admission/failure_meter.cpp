#include "cornelpier/admission/failure_meter.hpp"

#include <cmath>

namespace cornelpier {

namespace {

constexpr double run_weight = 0.2;
constexpr double half_life_seconds = 1;

} // namespace

void failure_meter::on_unreachable(time_point now) {
    set(1, now);
}

void failure_meter::on_error(time_point now) {
    const double before = share(now);
    set(before + (run_weight * (1 - before)), now);
}

void failure_meter::on_success(time_point now) {
    set(share(now) * (1 - run_weight), now);
}

double failure_meter::share(time_point now) const {
    return m_share * std::exp2(-to_seconds(now - m_changed) / half_life_seconds);
}

void failure_meter::set(double share, time_point now) {
    m_share = share;
    m_changed = now;
}

} // namespace cornelpier
