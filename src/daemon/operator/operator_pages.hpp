#pragma once

#include "cornelpier/fleet/fleet_view.hpp"
#include "cornelpier/node/control_core.hpp"
#include "cornelpier/node/node_identity.hpp"
#include "cornelpier/node/traffic_core.hpp"

#include "daemon/log/recent_lines.hpp"
#include "daemon/metrics/metrics.hpp"
#include "daemon/operator/operator_server.hpp"
#include "daemon/report/node_report.hpp"

#include <functional>
#include <memory>
#include <string>

namespace cornelpier {

/// Data sources of the operator pages.
struct operator_sources {
    node_identity identity;
    time_point start_time; ///< On the node's monotonic clock.
    std::function<void(std::function<void(traffic_snapshot)>)> snapshot_traffic;
    std::function<void(std::function<void(control_snapshot)>)> snapshot_control;
    const metrics& node_metrics;
    const recent_lines& recent_events;
    std::function<std::size_t()> link_bytes_in_assembly;
    std::shared_ptr<const byte_budget> budget = nullptr; ///< Null: shown without limit and use.
};

/// Generates the pages of the operator address: `/state`, `/metrics`, `/events` and `/plan`. Used on the
/// control thread.
class operator_pages {
  public:
    explicit operator_pages(operator_sources sources);

    /// Sets the latest published fleet view.
    void set_view(shared_fleet_view view);

    /// Generates the page for a path. Each snapshot is taken on the thread that owns the state, so a page
    /// never shows a partial update.
    /// @param respond called once, on any thread.
    void respond_to(const std::string& path, operator_server::page_callback respond) const;

  private:
    using snapshot_handler = std::function<void(const metrics_gauges&)>;

    void take_snapshots(snapshot_handler on_taken) const;
    [[nodiscard]] node_report make_node_report(const metrics_gauges& gauges) const;

    operator_sources m_sources;
    shared_fleet_view m_view;
};

} // namespace cornelpier
