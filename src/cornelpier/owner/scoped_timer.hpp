#pragma once

#include "cornelpier/timer/timer_service.hpp"

#include <utility>

namespace cornelpier {

/// Timer for one callback; cancelled when the object is destroyed.
class scoped_timer {
  public:
    scoped_timer() = default;
    ~scoped_timer() { cancel(); }

    scoped_timer(const scoped_timer&) = delete;
    scoped_timer& operator=(const scoped_timer&) = delete;

    scoped_timer(scoped_timer&& other) noexcept
        : m_timers(other.m_timers), m_id(std::exchange(other.m_id, 0)) {}

    scoped_timer& operator=(scoped_timer&& other) noexcept {
        std::swap(m_timers, other.m_timers);
        std::swap(m_id, other.m_id);
        return *this;
    }

    /// Schedules the callback. Cancels the previous one.
    /// @param timers must outlive the object.
    void call_at(timer_service& timers, time_point due, timer_service::callback on_due) {
        cancel();
        m_timers = &timers;
        m_id = timers.call_at(due, std::move(on_due));
    }

    /// Cancels the callback if one is scheduled.
    void cancel() {
        if (m_id != 0) {
            m_timers->cancel(std::exchange(m_id, 0));
        }
    }

  private:
    timer_service* m_timers = nullptr;
    timer_service::timer_id m_id = 0;
};

} // namespace cornelpier
