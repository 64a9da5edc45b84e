#include "tests/soak/deadly_tracker.hpp"

namespace cornelpier::soak {

namespace {

/// Specified by the platform: runs of such a request that are allowed later than `stabilization_time` after
/// it has ended this many servers.
constexpr std::size_t crashes_before_check = 3;
constexpr std::size_t max_late_runs = 3;

} // namespace

void deadly_tracker::on_run(const std::string& target, time_point now) {
    history& it = m_requests[target];
    if (it.crashes.size() < crashes_before_check) {
        return;
    }
    const time_point third = it.crashes[crashes_before_check - 1];
    if (now <= third + stabilization_time || !m_faults.fault_free_since(now - stabilization_time)) {
        return;
    }
    if (++it.late_runs > max_late_runs) {
        m_checker.add_violation("budget", target, std::to_string(it.late_runs) + " late runs");
    }
}

std::size_t deadly_tracker::crashes() const {
    std::size_t result = 0;
    for (const auto& [target, it] : m_requests) {
        result += it.crashes.size();
    }
    return result;
}

} // namespace cornelpier::soak
