#include "daemon/log/event_rate_limiter.hpp"

#include <utility>

namespace cornelpier {

namespace {

constexpr duration window_length = std::chrono::seconds{1};

} // namespace

std::optional<std::uint64_t> event_rate_limiter::admit(event_number number, time_point now) {
    auto& it = m_windows.try_emplace(number, window{now}).first->second;
    if (now - it.start >= window_length) {
        it.start = now;
        it.written = 0;
    }
    if (it.written == max_events_per_second) {
        ++it.suppressed;
        return std::nullopt;
    }

    ++it.written;
    return std::exchange(it.suppressed, 0);
}

std::vector<event_rate_limiter::suppressed_events> event_rate_limiter::take_suppressed(time_point now) {
    std::vector<suppressed_events> result;
    for (auto& [number, it] : m_windows) {
        if (it.suppressed != 0 && now - it.start >= window_length) {
            result.push_back({number, std::exchange(it.suppressed, 0)});
        }
    }
    return result;
}

} // namespace cornelpier
