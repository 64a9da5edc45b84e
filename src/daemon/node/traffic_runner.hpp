#pragma once

#include "cornelpier/node/traffic_core.hpp"

#include "daemon/caller/caller_server.hpp"
#include "daemon/link/link_manager.hpp"
#include "daemon/log/event_log.hpp"
#include "daemon/node/core_runner.hpp"
#include "daemon/server/server_client.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>

#include <functional>
#include <utility>

namespace cornelpier {

/// Receivers of the actions of the traffic core.
struct traffic_outputs {
    caller_server& callers;
    link_manager& links;
    server_client& server;
    event_sink record;
    std::function<void(const record_metric&)> measure;
    std::function<void(node_state)> state_changed;
    std::function<void()> drained;
};

/// Runs the traffic core on one strand and executes its actions.
class traffic_runner {
  public:
    /// @param context runs the strand.
    /// @param identity identity of the node.
    /// @param seed seed of the core's random number generator.
    /// @param outputs called on the strand, and so on any thread; must stay valid until the threads have
    /// ended.
    /// @param options options of the traffic core.
    traffic_runner(boost::asio::io_context& context, node_identity identity, std::uint64_t seed,
                   traffic_outputs outputs, traffic_options options = {});

    /// Posts an event to the core. May be called on any thread; events of one thread are handled in order.
    void post(traffic_event event) { m_runner.post(std::move(event)); }

    /// Starts the core's timers.
    void start() { m_runner.start(); }

    /// Takes a snapshot on the strand. May be called on any thread.
    void snapshot(std::function<void(traffic_snapshot)> on_taken);

  private:
    using strand = boost::asio::strand<boost::asio::io_context::executor_type>;

    void execute_actions(traffic_actions& actions);
    void report_state();

    void execute(open_link& action) { m_outputs.links.open(action.link, action.address); }
    void execute(const close_link& action) { m_outputs.links.close(action.link); }
    void execute(send_message& action) { m_outputs.links.send(action.link, std::move(action.message)); }
    void execute(answer_caller& action) { m_outputs.callers.answer(std::move(action)); }
    void execute(start_run& action) { m_outputs.server.start(std::move(action)); }
    void execute(const cancel_run& action) { m_outputs.server.cancel(action.run); }
    void execute(const read_server_report& action) { m_outputs.server.read_report(action.path); }
    void execute(const check_server& /*action*/) { m_outputs.server.check(); }
    void execute(const record_event& action) { m_outputs.record(action.record); }
    void execute(const record_metric& action) { m_outputs.measure(action); }
    void execute(const drained& /*action*/) { m_outputs.drained(); }

    strand m_strand;
    traffic_outputs m_outputs;
    node_state m_state = node_state::starting;
    core_runner<traffic_core, traffic_event, traffic_actions, strand> m_runner;
};

} // namespace cornelpier
