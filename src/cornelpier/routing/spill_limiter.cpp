#include "cornelpier/routing/spill_limiter.hpp"

#include <algorithm>

namespace cornelpier {

namespace {

/// If half of the offers are refused, half of the calls may leave; if nine of ten are, a twentieth.
constexpr double increase = 0.05;
constexpr double decrease_factor = 0.9;

/// Without any offer, an entry would not notice that the neighbour has room again.
constexpr double min_share = 0.02;

} // namespace

void spill_limiter::on_accepted() {
    m_share = std::min(m_share + increase, 1.0);
}

void spill_limiter::on_refused() {
    m_share = std::max(m_share * decrease_factor, min_share);
}

} // namespace cornelpier
