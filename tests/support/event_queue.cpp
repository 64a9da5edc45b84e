#include "tests/support/event_queue.hpp"

#include <algorithm>
#include <utility>

namespace cornelpier::testing {

void event_queue::call_at(time_point due, callback action) {
    m_entries.push({std::max(due, m_now), m_sequence++, std::move(action)});
}

void event_queue::run_until(time_point end) {
    while (!m_entries.empty() && m_entries.top().due <= end) {
        // Moves from the const `top`, which is popped next, to avoid copying the callback.
        auto next =
            std::move(const_cast<entry&>(m_entries.top())); // NOLINT(cppcoreguidelines-pro-type-const-cast)
        m_entries.pop();
        m_now = next.due;
        next.action();
    }
    m_now = std::max(m_now, end);
}

} // namespace cornelpier::testing
