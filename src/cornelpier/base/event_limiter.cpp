#include "cornelpier/base/event_limiter.hpp"

#include "cornelpier/base/hash.hpp"

#include <string>

namespace cornelpier {

namespace {

/// From this size on, expired entries are removed.
constexpr std::size_t cleanup_threshold = 256;

std::uint64_t record_hash(const event_record& record) {
    std::string text = std::to_string(static_cast<unsigned>(record.number));
    for (const auto& [name, value] : record.fields) {
        text.append(1, '\n').append(name).append(1, '=').append(value);
    }
    return stable_hash(text);
}

} // namespace

bool event_limiter::allow(const event_record& record, time_point now) {
    if (m_last.size() >= cleanup_threshold) {
        std::erase_if(m_last, [&](const auto& it) { return now - it.second >= period; });
    }

    const auto [it, inserted] = m_last.try_emplace(record_hash(record), now);
    if (inserted) {
        return true;
    }
    if (now - it->second < period) {
        return false;
    }
    it->second = now;
    return true;
}

} // namespace cornelpier
