#pragma once

#include "tests/soak/fault_tracker.hpp"
#include "tests/soak/invariant_checker.hpp"

#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace cornelpier::soak {

/// Checks that requests that end servers are kept from them.
class deadly_tracker {
  public:
    using time_point = std::chrono::steady_clock::time_point;

    /// Path prefix of the requests that end the servers that run them.
    static constexpr const char* path_prefix = "/safe/deadly-";

    deadly_tracker(invariant_checker& checker, const fault_tracker& faults)
        : m_checker(checker), m_faults(faults) {}

    [[nodiscard]] static bool is_deadly(const std::string& target) { return target.starts_with(path_prefix); }

    /// A server begins to run the request.
    void on_run(const std::string& target, time_point now);

    /// The request ended a server.
    void on_crash(const std::string& target, time_point now) { m_requests[target].crashes.push_back(now); }

    /// @return ends of servers by requests so far.
    [[nodiscard]] std::size_t crashes() const;

  private:
    struct history {
        std::vector<time_point> crashes;
        std::size_t late_runs = 0;
    };

    invariant_checker& m_checker;
    const fault_tracker& m_faults;
    std::map<std::string, history> m_requests;
};

} // namespace cornelpier::soak
