#pragma once

#include "cornelpier/base/units.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>

namespace cornelpier {

/// Timer queue driven by an external clock: the shell or a test advances it. Callbacks that are due at the
/// same time run in the order in which they were added.
class timer_service {
  public:
    using callback = std::function<void()>;

    /// Handle of a timer; 0 is never assigned.
    using timer_id = std::uint64_t;

    explicit timer_service(time_point start) : m_now(start) {}

    /// @return the latest time passed to `advance` or `set_now`.
    [[nodiscard]] time_point now() const noexcept { return m_now; }

    /// Adds a one-shot timer.
    /// @param due time of the call; if it has passed, the callback runs in the next `advance`.
    /// @return handle for `cancel`.
    timer_id call_at(time_point due, callback on_due);

    /// Adds a one-shot timer that is due after a delay from `now()`.
    timer_id call_after(duration delay, callback on_due) { return call_at(m_now + delay, std::move(on_due)); }

    /// Adds a periodic timer. Periods missed by a late `advance` are skipped.
    /// @param period must be positive.
    timer_id call_every(duration period, callback on_due);

    /// Cancels a timer. Unknown handles are ignored.
    void cancel(timer_id id);

    /// Advances the time and runs all callbacks that are due. The time never moves back.
    void advance(time_point now);

    /// Advances the time without running callbacks, so that an event is handled at its own time and before
    /// the timers that are due by then.
    void set_now(time_point now);

    /// @return the due time of the next timer, or nothing if there is none.
    [[nodiscard]] std::optional<time_point> next_due() const;

  private:
    struct timer {
        time_point due;
        duration period{};
        callback on_due;
    };

    timer_id add(timer added);

    time_point m_now;
    timer_id m_last_id = 0;
    std::map<std::pair<time_point, timer_id>, timer_id> m_queue;
    std::unordered_map<timer_id, timer> m_timers;
};

} // namespace cornelpier
