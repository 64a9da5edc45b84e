#include "cornelpier/membership/transit_delay.hpp"

#include <algorithm>
#include <utility>

namespace cornelpier {

namespace {

/// No clock that counts from the start of a VM is beyond this time.
constexpr time_point max_sent_at{std::chrono::hours{24 * 365 * 10}};

bool is_valid(time_point sent_at) {
    return sent_at >= time_point{} && sent_at <= max_sent_at;
}

} // namespace

std::optional<duration> transit_delay_estimator::on_datagram(const target_id& from, incarnation process,
                                                             time_point sent_at, time_point now) {
    if (!is_valid(sent_at)) {
        return std::nullopt;
    }
    auto it = m_senders.find(from);
    if (it == m_senders.end()) {
        forget_one_if_full();
        it = m_senders.emplace(from, sender{process, duration::max(), duration::max(), now, now}).first;
    }
    auto& known = it->second;
    if (known.process != process || now - known.window_began_at >= 2 * window) {
        known = {process, duration::max(), duration::max(), now, now};
    }
    if (now - known.window_began_at >= window) {
        known.smallest_before = std::exchange(known.smallest, duration::max());
        known.window_began_at = now;
    }
    known.last_heard_at = now;
    known.smallest = std::min(known.smallest, now - sent_at);
    return now - sent_at - std::min(known.smallest, known.smallest_before);
}

std::optional<duration> transit_delay_estimator::delay_on_link(const target_id& from, incarnation process,
                                                               time_point sent_at, time_point now) const {
    const auto it = m_senders.find(from);
    if (!is_valid(sent_at) || it == m_senders.end() || it->second.process != process) {
        return std::nullopt;
    }
    const duration smallest = std::min(it->second.smallest, it->second.smallest_before);
    return std::max(now - sent_at - smallest, duration::zero());
}

void transit_delay_estimator::forget_one_if_full() {
    if (m_senders.size() < max_senders) {
        return;
    }
    m_senders.erase(
        std::ranges::min_element(m_senders, {}, [](const auto& it) { return it.second.last_heard_at; }));
}

} // namespace cornelpier
