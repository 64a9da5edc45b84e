#pragma once

#include "cornelpier/base/verdict.hpp"

#include "bench/deployment.hpp"
#include "tests/support/event_queue.hpp"

#include <cstddef>
#include <vector>

namespace cornelpier::testing {

/// Result of one call.
struct call_outcome {
    time_point sent;
    duration latency{}; ///< Measured at the caller; the deadline if no answer arrived.
    verdict outcome = verdict::unknown;
};

/// Counters of a fleet.
struct fleet_counts {
    double retries = 0;
    double hedges = 0;
    double rechoices = 0;
    std::vector<std::vector<time_point>> measurements; ///< Times of the load measurements, per target.
};

/// A simulated fleet that distributes calls over servers by a balancing policy.
class balanced_fleet {
  public:
    balanced_fleet() = default;
    virtual ~balanced_fleet() = default;
    balanced_fleet(const balanced_fleet&) = delete;
    balanced_fleet& operator=(const balanced_fleet&) = delete;
    balanced_fleet(balanced_fleet&&) = delete;
    balanced_fleet& operator=(balanced_fleet&&) = delete;

    virtual event_queue& queue() = 0;

    /// @param target index in `deployment::targets()`.
    virtual fake_server& server(std::size_t target) = 0;

    /// Sends an idempotent lookup.
    /// @param entry index in `deployment::entries()`; if this entry is down, the next one that is up is used.
    virtual void call(std::size_t entry) = 0;

    /// Stops the VM of a node without notice, including the server if it has one.
    virtual void crash_vm(std::size_t entry) = 0;

    /// Restarts a crashed VM with a new node process and a running server.
    virtual void restore_vm(std::size_t entry) = 0;

    virtual std::vector<call_outcome> outcomes() = 0;
    virtual fleet_counts counts() = 0;
};

} // namespace cornelpier::testing
