#include "cornelpier/timer/timer_service.hpp"

namespace cornelpier {

timer_service::timer_id timer_service::add(timer added) {
    const timer_id id = ++m_last_id;
    m_queue.emplace(std::pair{added.due, id}, id);
    m_timers.emplace(id, std::move(added));
    return id;
}

timer_service::timer_id timer_service::call_at(time_point due, callback on_due) {
    return add({due, duration::zero(), std::move(on_due)});
}

timer_service::timer_id timer_service::call_every(duration period, callback on_due) {
    return add({m_now + period, period, std::move(on_due)});
}

void timer_service::cancel(timer_id id) {
    const auto it = m_timers.find(id);
    if (it == m_timers.end()) {
        return;
    }
    m_queue.erase({it->second.due, id});
    m_timers.erase(it);
}

void timer_service::set_now(time_point now) {
    if (now > m_now) {
        m_now = now;
    }
}

void timer_service::advance(time_point now) {
    set_now(now);

    while (!m_queue.empty() && m_queue.begin()->first.first <= m_now) {
        const timer_id id = m_queue.begin()->second;
        m_queue.erase(m_queue.begin());
        const auto it = m_timers.find(id);

        if (it->second.period == duration::zero()) {
            const callback on_due = std::move(it->second.on_due);
            m_timers.erase(it);
            on_due();
            continue;
        }

        const auto missed = (m_now - it->second.due) / it->second.period;
        it->second.due += it->second.period * (missed + 1);
        m_queue.emplace(std::pair{it->second.due, id}, id);

        // The callback may cancel its own timer, which destroys the stored copy.
        const callback on_due = it->second.on_due;
        on_due();
    }
}

std::optional<time_point> timer_service::next_due() const {
    if (m_queue.empty()) {
        return std::nullopt;
    }
    return m_queue.begin()->first.first;
}

} // namespace cornelpier
