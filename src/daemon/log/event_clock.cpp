#include "daemon/log/event_clock.hpp"

#include <chrono>

namespace cornelpier {

namespace {

hybrid_clock::wall_time wall_now() {
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<hybrid_clock::wall_time>(since_epoch);
}

} // namespace

hybrid_timestamp event_clock::next() {
    const std::lock_guard lock(m_mutex);
    return m_clock.next(wall_now());
}

void event_clock::merge(hybrid_timestamp received) {
    const std::lock_guard lock(m_mutex);
    m_clock.merge(received, wall_now());
}

} // namespace cornelpier
