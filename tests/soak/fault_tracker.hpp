#pragma once

#include "tests/soak/fault_schedule.hpp"

#include <chrono>

namespace cornelpier::soak {

/// Tracks the active faults and when the last one ended.
class fault_tracker {
  public:
    using time_point = std::chrono::steady_clock::time_point;

    void begin() { ++m_active; }

    void end() {
        --m_active;
        m_ended_at = std::chrono::steady_clock::now();
    }

    /// @return whether no fault has been active since `stabilization_time` before the given time.
    [[nodiscard]] bool fault_free_since(time_point from) const {
        return m_active == 0 && m_ended_at + stabilization_time <= from;
    }

  private:
    int m_active = 0;
    time_point m_ended_at{};
};

} // namespace cornelpier::soak
