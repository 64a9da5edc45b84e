#include "daemon/memory/budget_monitor.hpp"

#include <string>

namespace cornelpier {

namespace {

/// The budget counts as recovered below three quarters of its limit, so that the events do not alternate
/// with each request.
constexpr std::size_t recovered_numerator = 3;
constexpr std::size_t recovered_denominator = 4;

event_record describe(event_number number, const byte_budget_usage& usage) {
    return {number,
            {{"used", std::to_string(usage.used)},
             {"limit", std::to_string(usage.limit)},
             {"refusals", std::to_string(usage.refusals)}}};
}

} // namespace

std::optional<event_record> budget_monitor::update(const byte_budget_usage& usage) {
    const bool refused = usage.refusals != m_refusals;
    m_refusals = usage.refusals;
    if (refused && !m_exhausted) {
        m_exhausted = true;
        return describe(event_number::memory_budget_exhausted, usage);
    }
    const bool has_room = usage.used < usage.limit / recovered_denominator * recovered_numerator;
    if (m_exhausted && !refused && has_room) {
        m_exhausted = false;
        return describe(event_number::memory_budget_recovered, usage);
    }
    return std::nullopt;
}

} // namespace cornelpier
