#include "cornelpier/admission/slowness_meter.hpp"

#include <algorithm>

namespace cornelpier {

namespace {

/// A spell that has lasted long is expected to last on for this share of its length.
constexpr double rest_share = 0.5;

/// Slowness below this is variation.
constexpr double least_slowness = 1.05;

} // namespace

void slowness_meter::on_figure(double slowness, time_point now) {
    const bool was_slow = m_slowness > least_slowness;
    m_slowness = std::max(slowness, 1.0);
    if (m_slowness > least_slowness && !was_slow) {
        m_spell_began = now;
    }
    m_known = true;
    m_told_at = now;
}

duration slowness_meter::expected_loss(duration work, time_point now) const {
    if (m_slowness <= least_slowness) {
        return duration::zero();
    }
    return std::min(loss_by_starting(work), rest_of_spell(now));
}

bool slowness_meter::is_better_held(duration work, time_point now) const {
    return m_slowness > least_slowness && rest_of_spell(now) < loss_by_starting(work);
}

duration slowness_meter::rest_of_spell(time_point now) const {
    const duration lasted = now - m_spell_began;
    return std::max(usual_spell_rest, from_seconds(to_seconds(lasted) * rest_share));
}

duration slowness_meter::loss_by_starting(duration work) const {
    return from_seconds(to_seconds(work) * (m_slowness - 1));
}

} // namespace cornelpier
