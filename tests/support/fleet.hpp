#pragma once

#include "cornelpier/plan/plan.hpp"

#include "tests/support/fake_network.hpp"
#include "tests/support/fake_platform.hpp"
#include "tests/support/fake_server.hpp"
#include "tests/support/history.hpp"
#include "tests/support/node_host.hpp"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace cornelpier::testing {

/// Initial configuration of a fleet.
struct fleet_settings {
    std::uint64_t seed = 1;
    std::shared_ptr<const plan> initial_plan;
    server_settings default_server; ///< For targets without an entry in `server_overrides`.
    std::map<target_id, server_settings> server_overrides;
    network_settings network;
    traffic_options options;       ///< Applied to all nodes.
    bool run_control_core = false; ///< Otherwise the fleet delivers views to the nodes itself.
    duration view_propagation_delay{std::chrono::milliseconds{200}};
    std::function<void(node_index, traffic_actions&)> inject_fault; ///< Alters actions to test the checker.
    std::function<void(const std::string&)> transcript_sink;        ///< Called for each line; may be empty.
    severity transcript_level = severity::info;
};

/// Simulates all targets of a plan with their nodes, servers, callers and platform in virtual time.
class fleet {
  public:
    explicit fleet(fleet_settings settings);

    [[nodiscard]] event_queue& queue() { return m_queue; }
    [[nodiscard]] fake_network& network() { return *m_network; }
    [[nodiscard]] fake_platform& platform() { return m_platform; }
    [[nodiscard]] fake_server& server(const target_id& target);
    [[nodiscard]] node_host& host(const target_id& target);
    [[nodiscard]] node_index index(const target_id& target) const;
    [[nodiscard]] const std::vector<target_id>& targets() const { return m_targets; }
    [[nodiscard]] const std::shared_ptr<const plan>& current_plan() const { return m_plan; }
    [[nodiscard]] const history& records() const { return m_history; }
    [[nodiscard]] double metric_total(metric kind) const;

    /// Sends a call to its entry node.
    /// @return the index of the call in `records().calls`.
    std::size_t send_call(call_request request);

    /// Queries an entry for the fate of an earlier call, identified by the token in its answer.
    std::size_t request_fate(const std::string& name, const std::string& token, const target_id& entry);

    /// Closes the caller's connection of an unanswered call.
    void abandon(std::size_t call);

    void kill(const target_id& target, bool notify_peers = true);
    void restart(const target_id& target);
    void pause(const target_id& target);
    void resume(const target_id& target, resume_options options = {});
    void terminate(const target_id& target);
    void set_server_draining(const target_id& target, bool value);
    void set_vm_state(const vm_id& vm, vm_state state);

    /// Publishes a plan through the configuration service and, without control cores, delivers it to the
    /// nodes.
    void publish(std::shared_ptr<const plan> value);

    /// Writes a transcript line with the current time.
    void write_transcript(const std::string& text);

  private:
    host_hooks make_hooks();
    void add_target(const target_plan& target, const service_id& service);
    node_identity make_identity(const target_id& target);
    void start(node_index node);
    void deliver_view(node_index node, duration delay);
    void deliver_call(std::size_t call);
    void handle_answer(node_index node, const answer_caller& action);
    void deliver_answer(std::size_t call, const call_answer& answer);
    void record_execution(node_index node, const http_request& request);
    void handle_drained(node_index node);
    /// Exempts unanswered calls from the checks, as their entry ended or was paused.
    void make_answers_optional(node_index node);
    void end_process(const target_id& target, bool notify_peers);
    void set_drain_cause(const target_id& target, drain_cause cause, bool value);

    fleet_settings m_settings;
    random_source m_random;
    event_queue m_queue;
    fake_platform m_platform;
    std::unique_ptr<fake_network> m_network;
    std::shared_ptr<const plan> m_plan;
    std::map<vm_id, vm_state> m_vms;
    std::vector<target_id> m_targets;
    std::map<target_id, node_index> m_indices;
    std::vector<std::unique_ptr<fake_server>> m_servers;
    std::vector<std::unique_ptr<node_host>> m_hosts;
    std::vector<std::set<std::size_t>> m_unanswered_calls; ///< Per node.
    std::map<metric, double> m_metric_totals;
    history m_history;
};

/// @return the time in seconds with six decimals.
std::string format_time(time_point time);

} // namespace cornelpier::testing
