#pragma once

#include "cornelpier/base/units.hpp"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace cornelpier::testing {

/// Virtual clock and the actions that are due on it. Actions of the same time run in the order of their
/// scheduling, so that a run is the same every time.
class event_queue {
  public:
    using callback = std::function<void()>;

    /// @return the current virtual time; it starts at zero.
    [[nodiscard]] time_point now() const noexcept { return m_now; }

    /// Schedules an action; a time that has passed means now.
    void call_at(time_point due, callback action);

    /// Schedules an action after a delay.
    void call_after(duration delay, callback action) { call_at(m_now + delay, std::move(action)); }

    /// Runs everything that is due until `end`, inclusive.
    void run_until(time_point end);

  private:
    struct entry {
        time_point due;
        std::uint64_t sequence = 0;
        callback action;
    };

    struct due_later {
        bool operator()(const entry& a, const entry& b) const {
            return a.due != b.due ? a.due > b.due : a.sequence > b.sequence;
        }
    };

    time_point m_now{};
    std::uint64_t m_sequence = 0;
    std::priority_queue<entry, std::vector<entry>, due_later> m_entries;
};

} // namespace cornelpier::testing
