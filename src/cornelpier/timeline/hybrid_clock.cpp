#include "cornelpier/timeline/hybrid_clock.hpp"

#include <algorithm>

namespace cornelpier {

namespace {

constexpr unsigned counter_bits = 20;

std::uint64_t min_timestamp_at(hybrid_clock::wall_time wall) {
    return static_cast<std::uint64_t>(wall.count()) << counter_bits;
}

} // namespace

hybrid_timestamp hybrid_clock::next(wall_time now) {
    m_last = std::max(m_last + 1, min_timestamp_at(now));
    return hybrid_timestamp{m_last};
}

void hybrid_clock::merge(hybrid_timestamp received, wall_time now) {
    if (wall_time_of(received) > now + max_clock_lead) {
        return;
    }
    m_last = std::max(m_last, received.value());
}

hybrid_clock::wall_time wall_time_of(hybrid_timestamp stamp) {
    return hybrid_clock::wall_time{static_cast<std::int64_t>(stamp.value() >> counter_bits)};
}

} // namespace cornelpier
