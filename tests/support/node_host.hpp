#pragma once

#include "cornelpier/node/control_core.hpp"
#include "cornelpier/node/traffic_core.hpp"

#include "tests/support/fake_network.hpp"
#include "tests/support/fake_server.hpp"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace cornelpier::testing {

/// Callbacks from a node to the fleet.
struct host_hooks {
    std::function<void(node_index, const answer_caller&)> on_answer;
    std::function<void(node_index, const event_record&)> on_event;
    std::function<void(node_index, const record_metric&)> on_metric;
    std::function<void(node_index)> on_measurement; ///< A server report was read or a probe answered.
    std::function<void(node_index)> on_drained;
    std::function<void(node_index, const read_plan&)> on_plan_read;
    std::function<void(node_index)> on_vm_list_read;
    std::function<void(node_index, traffic_actions&)> inject_fault; ///< Alters actions; may be empty.
};

/// Behaviour of a process when it resumes after a pause.
struct resume_options {
    bool clock_frozen = false;   ///< The monotonic clock did not advance, as in a suspended VM.
    bool gap_event_last = false; ///< Queued events are handled before the pause is detected.
};

/// Simulates a node process: delivers events to the cores and executes their actions, as the daemon does.
class node_host {
  public:
    node_host(node_index index, event_queue& queue, fake_network& network, fake_server& server,
              host_hooks hooks);

    /// Starts a process.
    /// @param run_control_core whether to run a `control_core`; otherwise views arrive through `deliver`.
    /// @param options replaces default policies of the traffic core.
    void start(node_identity identity, std::uint64_t seed, bool run_control_core,
               traffic_options options = {});

    /// Ends the process immediately.
    /// @param notify_peers whether its links are closed; otherwise they go silent.
    void kill(bool notify_peers);

    void pause();
    void resume(resume_options options);

    /// Delivers an event to the process, or queues it while the process is paused.
    void deliver(const traffic_event& event);
    void deliver(const control_event& event);

    [[nodiscard]] bool alive() const { return m_traffic != nullptr; }
    [[nodiscard]] bool paused() const { return m_paused_at.has_value(); }
    /// @return whether the call arrived during a pause and is still queued.
    [[nodiscard]] bool is_queued(call_id call) const;

    [[nodiscard]] const traffic_core& traffic() const { return *m_traffic; }
    [[nodiscard]] const control_core* control() const { return m_control.get(); }

    /// @return the time of the node's monotonic clock.
    [[nodiscard]] time_point local_now() const { return m_queue.now() + m_clock_offset; }

  private:
    using any_event = std::variant<traffic_event, control_event>;

    void handle(const traffic_event& event);
    void handle(const control_event& event);
    void advance();
    void perform(traffic_actions& actions);
    void perform(const control_actions& actions);
    /// Notifies the control core of a changed node state.
    void report_state_to_control();
    void schedule_wake();
    void deliver_after(duration delay, const traffic_event& event);
    void end_run(run_id run, const fake_server::outcome& outcome);

    void on(const open_link& action) { m_network.open(m_index, action.link, action.address); }
    void on(const close_link& action) { m_network.close(m_index, action.link); }
    void on(const send_message& action);
    void on(const answer_caller& action) { m_hooks.on_answer(m_index, action); }
    void on(const start_run& action);
    void on(const cancel_run& action);
    void on(const read_server_report& action);
    void on(const check_server& action);
    void on(const record_event& action) { m_hooks.on_event(m_index, action.record); }
    void on(const record_metric& action) { m_hooks.on_metric(m_index, action); }
    void on(const drained& /*action*/) { m_hooks.on_drained(m_index); }
    void on(const send_control_message& action) {
        m_network.send_datagram(m_index, action.address, action.message);
    }
    void on(const read_plan& action) { m_hooks.on_plan_read(m_index, action); }
    void on(const read_vm_list& /*action*/) { m_hooks.on_vm_list_read(m_index); }
    void on(const publish_view& action) { deliver(traffic_event{fleet_changed{action.view}}); }

    node_index m_index;
    event_queue& m_queue;
    fake_network& m_network;
    fake_server& m_server;
    host_hooks m_hooks;
    std::unique_ptr<traffic_core> m_traffic;
    std::unique_ptr<control_core> m_control;
    std::uint64_t m_process_generation = 0; ///< Callbacks of earlier processes are dropped.
    duration m_clock_offset{};
    std::optional<time_point> m_paused_at;
    std::deque<any_event> m_queued_events;
    std::optional<time_point> m_scheduled_wake;
    node_state m_state = node_state::starting;
    std::set<run_id> m_runs;             ///< In progress at the server.
    std::optional<link_id> m_probe_link; ///< Link of the probe being handled.
};

} // namespace cornelpier::testing
