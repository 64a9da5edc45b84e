#include "daemon/memory/byte_budget.hpp"

#include <algorithm>

namespace cornelpier {

namespace {

constexpr std::size_t reserve_divisor = 8;
constexpr std::size_t sole_divisor = 16;

std::size_t index_of(held_bytes kind) {
    return static_cast<std::size_t>(kind);
}

} // namespace

const char* to_string(held_bytes kind) {
    constexpr std::array<const char*, held_bytes_kinds> names{"request_bodies", "heads", "unread_responses",
                                                              "link_queues"};
    return names.at(index_of(kind));
}

byte_budget::byte_budget(std::size_t limit, std::size_t sole_limit)
    : m_limit(limit), m_sole_limit(std::max(limit, sole_limit)) {}

/// @param total bytes of the holder.
/// @param others bytes of all other holders.
std::size_t byte_budget::limit_for(std::size_t total, std::size_t others) const {
    const std::size_t limit = others <= m_limit / sole_divisor ? m_sole_limit : m_limit;
    return total <= small_bytes ? limit : limit - limit / reserve_divisor;
}

bool byte_budget::try_take(held_bytes kind, std::size_t more, std::size_t total) {
    const std::size_t own = total - more;
    std::size_t used = m_used.load();
    do {
        const std::size_t limit = limit_for(total, used - std::min(used, own));
        if (used > limit || more > limit - used) {
            ++m_refusals;
            return false;
        }
    } while (!m_used.compare_exchange_weak(used, used + more));
    record_peak(used + more);
    m_by_kind.at(index_of(kind)) += more;
    return true;
}

void byte_budget::take(held_bytes kind, std::size_t more) {
    record_peak(m_used += more);
    m_by_kind.at(index_of(kind)) += more;
}

void byte_budget::give_back(held_bytes kind, std::size_t bytes) {
    m_by_kind.at(index_of(kind)) -= bytes;
    m_used -= bytes;
}

bool byte_budget::has_room_for(std::size_t total) {
    const std::size_t used = m_used.load();
    const std::size_t limit = limit_for(total, used);
    const bool result = used <= limit && total <= limit - used;
    if (!result) {
        ++m_refusals;
    }
    return result;
}

std::size_t byte_budget::take_peak() {
    return m_peak.exchange(m_used.load());
}

void byte_budget::record_peak(std::size_t used) {
    std::size_t peak = m_peak.load();
    while (used > peak && !m_peak.compare_exchange_weak(peak, used)) {
    }
}

byte_budget_usage byte_budget::usage() const {
    byte_budget_usage result{m_limit, m_used.load(), {}, m_refusals.load()};
    for (std::size_t n = 0; n < held_bytes_kinds; ++n) {
        result.by_kind.at(n) = m_by_kind.at(n).load();
    }
    return result;
}

} // namespace cornelpier
