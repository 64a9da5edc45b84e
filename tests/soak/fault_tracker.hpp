#pragma once

#include "tests/soak/fault_schedule.hpp"

#include <chrono>

namespace cornelpier::soak {

/// Knows since when nothing disturbs the fleet.
class fault_tracker {
  public:
    using time_point = std::chrono::steady_clock::time_point;

    void begin() { ++m_active; }

    void end() {
        --m_active;
        m_ended_at = std::chrono::steady_clock::now();
    }

    /// @return whether no disturbance was in force at a time, in the time before it after which bounds hold,
    /// and since.
    [[nodiscard]] bool fault_free_since(time_point from) const {
        return m_active == 0 && m_ended_at + stabilization_time <= from;
    }

  private:
    int m_active = 0;
    time_point m_ended_at{};
};

} // namespace cornelpier::soak
