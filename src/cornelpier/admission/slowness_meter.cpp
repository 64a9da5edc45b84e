#include "cornelpier/admission/slowness_meter.hpp"

#include <algorithm>
#include <limits>

namespace cornelpier {

namespace {

/// A spell that has lasted long is expected to last on for this share of its length.
constexpr double rest_share = 0.5;

/// Slowness below this is variation.
constexpr double least_slowness = 1.05;

/// Periods without a figure that may lie between two: an idle server is asked twice a second.
constexpr std::int64_t longest_gap = 3;

constexpr double no_figure = std::numeric_limits<double>::infinity();

} // namespace

void slowness_meter::on_figure(double slowness, time_point now) {
    const bool was_slow = m_slowness > m_lasting * least_slowness;
    m_slowness = std::max(slowness, 1.0);
    note_lowest(now);
    if (m_slowness > m_lasting * least_slowness && !was_slow) {
        m_spell_began = now;
    }
    m_known = true;
    m_told_at = now;
}

void slowness_meter::note_lowest(time_point now) {
    const std::int64_t current = now.time_since_epoch() / period;
    if (!m_known || current > m_period + longest_gap) {
        // Nothing is known of the time without figures.
        m_first_period = current;
        m_period = current - static_cast<std::int64_t>(periods);
    }
    while (m_period < current) {
        lowest_of(++m_period) = no_figure;
    }
    lowest_of(current) = std::min(lowest_of(current), m_slowness);

    const bool covered = m_period - m_first_period >= static_cast<std::int64_t>(periods);
    m_lasting = covered ? *std::ranges::min_element(m_lowest) : std::min(m_lasting, m_slowness);
}

duration slowness_meter::lasting_work(duration work) const {
    return from_seconds(to_seconds(work) * m_lasting);
}

duration slowness_meter::expected_loss(duration work, time_point now) const {
    const duration lasting = lasting_work(work) - work;
    if (m_slowness <= m_lasting * least_slowness) {
        return lasting;
    }
    return lasting + std::min(loss_by_spell(work), rest_of_spell(now));
}

bool slowness_meter::is_better_held(duration work, time_point now) const {
    return m_slowness > m_lasting * least_slowness && rest_of_spell(now) < loss_by_spell(work);
}

duration slowness_meter::rest_of_spell(time_point now) const {
    const duration lasted = now - m_spell_began;
    return std::max(usual_spell_rest, from_seconds(to_seconds(lasted) * rest_share));
}

duration slowness_meter::loss_by_spell(duration work) const {
    return from_seconds(to_seconds(work) * (m_slowness - m_lasting));
}

} // namespace cornelpier
