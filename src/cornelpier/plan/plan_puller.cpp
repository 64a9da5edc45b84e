#include "cornelpier/plan/plan_puller.hpp"

#include <utility>

namespace cornelpier {

std::optional<peer> plan_puller::request_from(const plan_digest& digest, const peer& source, time_point now) {
    m_requested = digest;
    m_requested_at = now;
    m_fallback.reset();
    return source;
}

std::optional<peer> plan_puller::on_newer_plan(const plan_digest& digest, const peer& source,
                                               time_point now) {
    const bool waiting = m_requested_at && now - *m_requested_at < response_timeout;
    if (!waiting || digest.version > m_requested.version) {
        return request_from(digest, source, now);
    }
    m_fallback = source;
    return std::nullopt;
}

std::optional<peer> plan_puller::poll(time_point now) {
    if (!m_requested_at || !m_fallback || now - *m_requested_at < response_timeout) {
        return std::nullopt;
    }
    const peer next = std::exchange(m_fallback, std::nullopt).value();
    return request_from(m_requested, next, now);
}

void plan_puller::on_plan_accepted(std::uint64_t version) {
    if (version >= m_requested.version) {
        m_requested_at.reset();
        m_fallback.reset();
    }
}

} // namespace cornelpier
