#pragma once

#include "cornelpier/timer/timer_service.hpp"

#include <utility>

namespace cornelpier {

/// Subscription to one call that ends with the object.
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

    /// Replaces the subscription.
    /// @param timers outlives the object.
    void call_at(timer_service& timers, time_point due, timer_service::callback on_due) {
        cancel();
        m_timers = &timers;
        m_id = timers.call_at(due, std::move(on_due));
    }

    /// Ends the subscription, if there is one.
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
