#pragma once

#include "cornelpier/pause/pause_detector.hpp"

#include "daemon/net/clock.hpp"
#include "daemon/node/periodic_timer.hpp"

#include <functional>
#include <optional>
#include <utility>

namespace cornelpier {

/// Detects that the strand or thread of its owner did not run, by reading the monotonic and boot clocks every
/// `pause_poll_interval` and before each event.
class pause_monitor {
  public:
    /// @param executor strand or context of the owner.
    /// @param on_tick called every `pause_poll_interval`; must call `check`.
    template <typename Executor>
    pause_monitor(Executor& executor, std::function<void()> on_tick)
        : m_timer(executor, pause_poll_interval, std::move(on_tick)) {}

    /// Starts monitoring.
    void start() {
        check();
        m_timer.start();
    }

    /// @return the length of a pause since the last check, or nothing if there was none.
    std::optional<duration> check() {
        return m_detector.tick(monotonic_now().time_since_epoch(), boot_now().time_since_epoch());
    }

  private:
    pause_detector m_detector;
    periodic_timer m_timer;
};

} // namespace cornelpier
