#pragma once

#include "cornelpier/base/units.hpp"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <utility>

namespace cornelpier {

/// Calls a function periodically on one executor. The period starts when the previous call has returned.
class periodic_timer {
  public:
    /// @param executor io_context or strand.
    template <typename Executor>
    periodic_timer(Executor& executor, duration period, std::function<void()> on_tick)
        : m_timer(executor), m_period(period), m_on_tick(std::move(on_tick)) {}

    /// Starts the timer. The first call is made after one period.
    void start() {
        m_timer.expires_after(m_period);
        m_timer.async_wait([this](boost::system::error_code ec) {
            if (!ec) {
                m_on_tick();
                start();
            }
        });
    }

  private:
    boost::asio::steady_timer m_timer;
    duration m_period;
    std::function<void()> m_on_tick;
};

} // namespace cornelpier
