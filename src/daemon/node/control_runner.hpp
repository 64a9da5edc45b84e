#pragma once

#include "cornelpier/node/control_core.hpp"

#include "daemon/gossip/gossip_socket.hpp"
#include "daemon/link/link_manager.hpp"
#include "daemon/log/event_log.hpp"
#include "daemon/node/core_runner.hpp"
#include "daemon/platform/platform_reader.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <utility>

namespace cornelpier {

/// Receivers of the actions of the control core.
struct control_outputs {
    gossip_socket& gossip_messages;
    link_manager& links;
    platform_reader& platform;
    event_sink record;
    std::function<void(shared_fleet_view)> publish;
};

/// Runs the control core on the control thread and executes its actions.
class control_runner {
  public:
    /// @param context run by one thread.
    /// @param identity identity of the node.
    /// @param seed seed of the core's random number generator.
    /// @param outputs must stay valid until the control thread has ended.
    control_runner(boost::asio::io_context& context, node_identity identity, std::uint64_t seed,
                   control_outputs outputs);

    /// Posts an event to the core. May be called on any thread; events of one thread are handled in order.
    void post(control_event event) { m_runner.post(std::move(event)); }

    /// Starts the core's timers.
    void start() { m_runner.start(); }

    /// Takes a snapshot on the control thread. May be called on any thread.
    void snapshot(std::function<void(control_snapshot)> on_taken);

  private:
    void execute_actions(control_actions& actions);

    void execute(send_control_message& action);
    void execute(const read_plan& action) { m_outputs.platform.read_plan(action); }
    void execute(const read_vm_list& /*action*/) { m_outputs.platform.read_vm_list(); }
    void execute(publish_view& action) { m_outputs.publish(std::move(action.view)); }
    void execute(const record_event& action) { m_outputs.record(action.record); }

    control_outputs m_outputs;
    core_runner<control_core, control_event, control_actions, boost::asio::io_context> m_runner;
};

} // namespace cornelpier
