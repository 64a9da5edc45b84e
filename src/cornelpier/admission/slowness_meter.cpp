#include "cornelpier/admission/slowness_meter.hpp"

#include <algorithm>

namespace cornelpier {

namespace {

/// A spell that has lasted long is expected to last on for this share of its length.
constexpr double rest_share = 0.5;

/// Slowness below this is variation.
constexpr double least_slowness = 1.05;

/// A new server is warm after this; the platforms known so far say 3 s.
constexpr duration longest_warm_up = std::chrono::seconds{10};

/// More is a spell, also where nothing less has been seen of a new server yet.
constexpr double most_lasting = 3;

duration rest_of_spell(duration lasted) {
    return std::max(usual_spell_rest, scale(lasted, rest_share));
}

} // namespace

void slowness_meter::on_figure(double slowness, time_point now) {
    const double before = m_slowness;
    m_slowness = std::max(slowness, 1.0);
    m_lowest = std::min(m_lowest, m_slowness);
    if (m_slowness > least_slowness && before <= least_slowness) {
        m_slow_since = now;
    }
    const double usual = lasting(now) * least_slowness;
    if (m_slowness > usual && before <= usual) {
        m_spell_began = now;
    }
    m_known = true;
    m_told_at = now;
}

void slowness_meter::on_new_server(time_point now) {
    m_lowest = std::numeric_limits<double>::infinity();
    m_warm_at = now + longest_warm_up;
}

duration slowness_meter::expected_loss(duration work, time_point now) const {
    if (m_slowness <= least_slowness) {
        return duration::zero();
    }
    return std::min(scale(work, m_slowness - 1), rest_of_spell(now - m_slow_since));
}

bool slowness_meter::is_better_held(duration work, time_point now) const {
    const double usual = lasting(now);
    return m_slowness > usual * least_slowness &&
           rest_of_spell(now - m_spell_began) < scale(work, m_slowness - usual);
}

double slowness_meter::lasting(time_point now) const {
    return now < m_warm_at ? std::min(m_lowest, most_lasting) : 1;
}

} // namespace cornelpier
