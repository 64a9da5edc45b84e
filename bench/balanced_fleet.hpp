#pragma once

#include "cornelpier/base/verdict.hpp"

#include "bench/deployment.hpp"
#include "tests/support/event_queue.hpp"

#include <cstddef>
#include <vector>

namespace cornelpier::testing {

/// End of one measured call.
struct call_outcome {
    time_point sent;
    duration latency{}; ///< As the caller saw it; the deadline if no answer came.
    verdict outcome = verdict::unknown;
};

/// What a fleet counted besides its calls.
struct fleet_counts {
    double retries = 0;
    double hedges = 0;
    double rechoices = 0;
    std::vector<std::vector<time_point>> measurements; ///< Per target.
};

/// A fleet that spreads calls over servers by some policy.
class balanced_fleet {
  public:
    balanced_fleet() = default;
    virtual ~balanced_fleet() = default;
    balanced_fleet(const balanced_fleet&) = delete;
    balanced_fleet& operator=(const balanced_fleet&) = delete;
    balanced_fleet(balanced_fleet&&) = delete;
    balanced_fleet& operator=(balanced_fleet&&) = delete;

    virtual event_queue& queue() = 0;

    /// @param target position in `deployment::targets()`.
    virtual fake_server& server(std::size_t target) = 0;

    /// Sends an idempotent lookup.
    /// @param entry position in `deployment::entries()`; an entry that is down is replaced by another.
    virtual void call(std::size_t entry) = 0;

    /// The VM of a node disappears, with the server if there is one.
    virtual void crash_vm(std::size_t entry) = 0;

    /// The VM of a lost node is back with a new process and a server that is up.
    virtual void restore_vm(std::size_t entry) = 0;

    virtual std::vector<call_outcome> outcomes() = 0;
    virtual fleet_counts counts() = 0;
};

} // namespace cornelpier::testing
