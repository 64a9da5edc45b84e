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

/// Tells a node which plan is in force and which targets there are. Used on the control thread, except where
/// a function says otherwise.
class fleet_source {
  public:
    fleet_source() = default;
    virtual ~fleet_source() = default;
    fleet_source(const fleet_source&) = delete;
    fleet_source& operator=(const fleet_source&) = delete;
    fleet_source(fleet_source&&) = delete;
    fleet_source& operator=(fleet_source&&) = delete;

    /// Binds what the source listens on.
    /// @return an error with an empty reason if it worked.
    virtual error bind() = 0;

    /// Begins to watch. Views are published from now on.
    virtual void start() = 0;

    /// Ends everything; nothing is published afterwards.
    virtual void stop() = 0;

    /// Takes the state of the own node. Callable on any thread.
    virtual void on_state(node_state state) = 0;

    /// Takes a message of another node. Callable on any thread.
    virtual void on_message(control_message message) = 0;

    /// Takes a snapshot for reports. Callable on any thread.
    virtual void snapshot(std::function<void(control_snapshot)> on_snapshot) = 0;
};

/// What a source needs of its node.
struct fleet_source_context {
    boost::asio::io_context& control_context; ///< Run by one thread.
    const node_identity& identity;
    link_manager& links;
    event_sink log_event;
    std::function<void(shared_fleet_view)> publish;
};

/// Makes the source of a node.
using fleet_source_factory = std::function<std::unique_ptr<fleet_source>(fleet_source_context)>;

} // namespace cornelpier
