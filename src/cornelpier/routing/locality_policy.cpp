#include "cornelpier/routing/locality_policy.hpp"

namespace cornelpier {

namespace {

constexpr double bytes_per_kilobyte = 1000;

/// Message heads, the load reading and the frame that accompany each exchange between two nodes.
constexpr std::size_t exchange_overhead_bytes = 700;

} // namespace

bool locality_policy::is_far(duration fastest_round_trip) const {
    return has_price() && fastest_round_trip >= m_options.far_round_trip;
}

duration locality_policy::exchange_cost(std::size_t bytes) const {
    const double kilobytes = static_cast<double>(bytes + exchange_overhead_bytes) / bytes_per_kilobyte;
    return scale(m_options.cost_per_kilobyte, kilobytes);
}

} // namespace cornelpier
