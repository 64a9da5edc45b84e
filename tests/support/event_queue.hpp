#pragma once

#include "cornelpier/base/units.hpp"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace cornelpier::testing {

/// Discrete-event scheduler with a virtual clock. Actions due at the same time run in the order in which they
/// were scheduled, so that runs are reproducible.
class event_queue {
  public:
    using callback = std::function<void()>;

    /// @return the virtual time, which starts at zero.
    [[nodiscard]] time_point now() const noexcept { return m_now; }

    /// Schedules an action at `due`, or at the current time if `due` has passed.
    void call_at(time_point due, callback action);

    void call_after(duration delay, callback action) { call_at(m_now + delay, std::move(action)); }

    /// Runs all actions due up to and including `end`, then advances the clock to `end`.
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
