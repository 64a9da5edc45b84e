#pragma once

#include "cornelpier/base/units.hpp"
#include "cornelpier/node/control_core.hpp"
#include "cornelpier/node/traffic_actions.hpp"
#include "cornelpier/node/traffic_core.hpp"

#include "daemon/memory/byte_budget.hpp"
#include "daemon/metrics/latency_window.hpp"

#include <map>
#include <memory>
#include <string>

namespace cornelpier {

/// Gauge values, sampled when the metrics are exposed.
struct metrics_gauges {
    traffic_snapshot traffic;
    control_snapshot control;
    double measuring_budget = 0;            ///< Measurements per second that the plan allows for this server.
    std::size_t link_bytes_in_assembly = 0; ///< Of incomplete large messages from other nodes.
    byte_budget_usage memory{};
};

/// Counters and histograms of a node. Thread-safe.
class metrics {
  public:
    metrics();
    ~metrics();

    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;
    metrics(metrics&&) = delete;
    metrics& operator=(metrics&&) = delete;

    /// Records an observation from the decision core.
    /// @param now current time on the node's monotonic clock.
    void add(const record_metric& observation, time_point now);

    /// @return all metrics in the Prometheus text format 0.0.4; times in seconds.
    [[nodiscard]] std::string exposition(const metrics_gauges& gauges) const;

    /// @return the calls of the last minute, by called service.
    [[nodiscard]] std::map<service_id, latency_window::summary> last_minute(time_point now) const;

  private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace cornelpier
