#include "cornelpier/timeline/hybrid_clock.hpp"

#include <algorithm>

namespace cornelpier {

namespace {

constexpr unsigned counter_bits = 20;

std::uint64_t first_stamp_of(hybrid_clock::wall_time wall) {
    return static_cast<std::uint64_t>(wall.count()) << counter_bits;
}

} // namespace

hybrid_stamp hybrid_clock::next(wall_time now) {
    m_last = std::max(m_last + 1, first_stamp_of(now));
    return hybrid_stamp{m_last};
}

void hybrid_clock::merge(hybrid_stamp received, wall_time now) {
    if (wall_time_of(received) > now + max_lead) {
        return;
    }
    m_last = std::max(m_last, received.value());
}

hybrid_clock::wall_time wall_time_of(hybrid_stamp stamp) {
    return hybrid_clock::wall_time{static_cast<std::int64_t>(stamp.value() >> counter_bits)};
}

} // namespace cornelpier
