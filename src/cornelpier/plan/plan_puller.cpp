#include "cornelpier/plan/plan_puller.hpp"

#include <utility>

namespace cornelpier {

std::optional<peer> plan_puller::ask(const plan_digest& digest, const peer& source, time_point now) {
    m_wanted = digest;
    m_asked_at = now;
    m_alternate.reset();
    return source;
}

std::optional<peer> plan_puller::offer(const plan_digest& digest, const peer& source, time_point now) {
    const bool waiting = m_asked_at && now - *m_asked_at < answer_limit;
    if (!waiting || digest.version > m_wanted.version) {
        return ask(digest, source, now);
    }
    m_alternate = source;
    return std::nullopt;
}

std::optional<peer> plan_puller::poll(time_point now) {
    if (!m_asked_at || !m_alternate || now - *m_asked_at < answer_limit) {
        return std::nullopt;
    }
    const peer next = std::exchange(m_alternate, std::nullopt).value();
    return ask(m_wanted, next, now);
}

void plan_puller::reached(std::uint64_t version) {
    if (version >= m_wanted.version) {
        m_asked_at.reset();
        m_alternate.reset();
    }
}

} // namespace cornelpier
