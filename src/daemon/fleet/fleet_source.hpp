#pragma once

#include "cornelpier/base/result.hpp"
#include "cornelpier/fleet/fleet_view.hpp"
#include "cornelpier/node/control_core.hpp"
#include "cornelpier/node/node_identity.hpp"

#include "daemon/link/link_manager.hpp"
#include "daemon/log/event_log.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace cornelpier {

/// Provides a node with the plan in force and the available targets. Must be used on the control thread
/// unless a function states otherwise.
class fleet_source {
  public:
    fleet_source() = default;
    virtual ~fleet_source() = default;
    fleet_source(const fleet_source&) = delete;
    fleet_source& operator=(const fleet_source&) = delete;
    fleet_source(fleet_source&&) = delete;
    fleet_source& operator=(fleet_source&&) = delete;

    /// Binds the sockets of the source.
    /// @return an error with an empty reason on success.
    virtual error bind() = 0;

    /// Starts watching; views are published from now on.
    virtual void start() = 0;

    /// Stops all activity; nothing is published afterwards.
    virtual void stop() = 0;

    /// Handles a change of this node's state. May be called on any thread.
    virtual void on_state(node_state state) = 0;

    /// Handles a message from another node. May be called on any thread.
    virtual void on_message(control_message message) = 0;

    /// Takes a snapshot for reports. May be called on any thread.
    /// @param on_snapshot called on the control thread.
    virtual void snapshot(std::function<void(control_snapshot)> on_snapshot) = 0;
};

/// Parts of the node that a source uses.
struct fleet_source_context {
    boost::asio::io_context& control_context; ///< Run by one thread.
    const node_identity& identity;
    link_manager& links;
    event_sink log_event;
    std::function<void(shared_fleet_view)> publish;
};

/// Creates the source of a node.
using fleet_source_factory = std::function<std::unique_ptr<fleet_source>(fleet_source_context)>;

} // namespace cornelpier
