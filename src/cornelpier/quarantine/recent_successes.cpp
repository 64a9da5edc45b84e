#include "cornelpier/quarantine/recent_successes.hpp"

namespace cornelpier {

std::size_t recent_successes::slot_of(const request_fingerprint& fingerprint) {
    return (fingerprint.head ^ fingerprint.body) % slots;
}

void recent_successes::add(const run_trace& trace, time_point now) {
    if (trace.body != nullptr && trace.body->size() > max_body_bytes) {
        return;
    }
    const request_fingerprint fingerprint = fingerprint_of(trace);
    m_entries.at(slot_of(fingerprint)) = {fingerprint, now};
}

bool recent_successes::contains(const request_fingerprint& fingerprint, time_point now) const {
    const entry& it = m_entries.at(slot_of(fingerprint));
    return it.at && it.fingerprint == fingerprint && now - *it.at <= max_age;
}

} // namespace cornelpier
