#include "daemon/caller/caller_context.hpp"

#include "daemon/caller/caller_session.hpp"

#include <algorithm>
#include <utility>

namespace cornelpier {

caller_context::caller_context(caller_options options, caller_event_handler handler, event_sink sink)
    : m_options(std::move(options)), m_handler(std::move(handler)), m_sink(std::move(sink)),
      m_idle_timeout_ms(m_options.idle_timeout.count()) {}

void caller_context::set_limits(const caller_limits& limits) {
    const auto idle = std::chrono::duration_cast<std::chrono::milliseconds>(limits.idle_timeout);
    m_max_head_bytes = std::max(min_head_limit_bytes, limits.max_header_bytes);
    m_max_body_bytes = body_limit(limits);
    m_idle_timeout_ms = std::max(m_options.idle_timeout, idle).count();
}

void caller_context::add_session(const std::shared_ptr<caller_session>& session) {
    const std::lock_guard lock(m_mutex);
    m_sessions.emplace(session.get(), session);
}

void caller_context::remove_session(const caller_session* session) {
    const std::lock_guard lock(m_mutex);
    m_sessions.erase(session);
}

std::vector<std::shared_ptr<caller_session>> caller_context::sessions() const {
    const std::lock_guard lock(m_mutex);
    std::vector<std::shared_ptr<caller_session>> result;
    for (const auto& [key, weak] : m_sessions) {
        if (auto it = weak.lock()) {
            result.push_back(std::move(it));
        }
    }
    return result;
}

std::size_t caller_context::session_count() const {
    const std::lock_guard lock(m_mutex);
    return m_sessions.size();
}

void caller_context::close_stalled_sessions() {
    const auto now = std::chrono::steady_clock::now();
    {
        const std::lock_guard lock(m_mutex);
        if (now - m_stalled_closed_at < close_stalled_interval) {
            return;
        }
        m_stalled_closed_at = now;
    }
    auto stalled = sessions();
    std::erase_if(stalled, [now](const auto& it) { return !it->progress().stalled(now); });
    std::ranges::sort(stalled, {}, [](const auto& it) { return it->progress().last(); });
    stalled.resize(std::min(stalled.size(), max_closed_at_once));
    for (const auto& it : stalled) {
        it->close_if_stalled();
    }
}

void caller_context::set_view(shared_fleet_view view) {
    const std::lock_guard lock(m_mutex);
    m_view = std::move(view);
}

shared_fleet_view caller_context::view() const {
    const std::lock_guard lock(m_mutex);
    return m_view;
}

call_id caller_context::add_call(const std::shared_ptr<caller_session>& session) {
    const std::lock_guard lock(m_mutex);
    const call_id call{++m_last_call};
    m_calls.emplace(call, session);
    return call;
}

std::shared_ptr<caller_session> caller_context::take_call(call_id call) {
    const std::lock_guard lock(m_mutex);
    const auto it = m_calls.find(call);
    if (it == m_calls.end()) {
        return nullptr;
    }
    auto session = it->second.lock();
    m_calls.erase(it);
    return session;
}

} // namespace cornelpier
