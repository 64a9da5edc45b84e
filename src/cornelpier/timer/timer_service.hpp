#pragma once

#include "cornelpier/base/units.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>

namespace cornelpier {

/// Calls subscribers back when their time has come. It reads no clock: the shell or a test advances it.
/// Callbacks that are due at the same time run in the order of their subscription.
class timer_service {
  public:
    using callback = std::function<void()>;

    /// Handle of a subscription; value 0 names none.
    using timer_id = std::uint64_t;

    explicit timer_service(time_point start) : m_now(start) {}

    /// @return the time of the latest advance.
    [[nodiscard]] time_point now() const noexcept { return m_now; }

    /// Subscribes to one call.
    /// @param due when to call; a time that has passed means the next advance.
    /// @return handle for `cancel`.
    timer_id call_at(time_point due, callback on_due);

    /// Subscribes to one call after a delay from `now()`.
    timer_id call_after(duration delay, callback on_due) { return call_at(m_now + delay, std::move(on_due)); }

    /// Subscribes to repeated calls. After a late advance the missed periods are skipped.
    /// @param period time between calls; must be positive.
    timer_id call_every(duration period, callback on_due);

    /// Ends a subscription. Unknown handles are ignored.
    void cancel(timer_id id);

    /// Moves the time forward and calls everything that is due. A time before `now()` is ignored.
    void advance(time_point now);

    /// Moves the time forward without calling anything, so that an event is handled at its own time
    /// before the timers that became due with it.
    void set_now(time_point now);

    /// @return when the next subscription is due, or nothing if there is none.
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
