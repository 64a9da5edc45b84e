#include "cornelpier/owner/owner_outbox.hpp"

namespace cornelpier {

namespace {

constexpr duration min_event_interval = std::chrono::seconds{1};

} // namespace

void owner_outbox::send(link_id link, traffic_message message) {
    emit(send_message{link, std::move(message)});
}

void owner_outbox::broadcast(const traffic_message& message) {
    for (const auto& [link, peer] : m_links) {
        send(link, message);
    }
}

bool owner_outbox::is_peer(link_id link, incarnation peer) const {
    const auto it = m_links.find(link);
    return it != m_links.end() && it->second == peer;
}

void owner_outbox::emit(traffic_action action) {
    m_output->push_back(std::move(action));
}

void owner_outbox::log(event_number number, event_fields fields) {
    emit(record_event{{number, std::move(fields)}});
}

void owner_outbox::log_throttled(event_number number, event_fields fields) {
    const time_point now = m_timers.now();
    const auto [it, first] = m_last_logged_at.try_emplace(number, now);
    if (!first && now < it->second + min_event_interval) {
        return;
    }
    it->second = now;
    log(number, std::move(fields));
}

void owner_outbox::increment(metric kind) {
    emit(record_metric{kind, m_service, verdict::unknown, 1});
}

} // namespace cornelpier
