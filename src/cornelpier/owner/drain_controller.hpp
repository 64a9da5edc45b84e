#pragma once

#include "cornelpier/owner/owner_state.hpp"

#include <optional>

namespace cornelpier {

/// Controls the drain of the owner: its causes, the announcement to the entries and the final stop.
class drain_controller {
  public:
    /// @param state must outlive the object.
    /// @param drain_timeout time for the runs in progress after a termination. Default: the largest deadline
    /// of the plan, but at least 30 s.
    explicit drain_controller(owner_state& state, std::optional<duration> drain_timeout = std::nullopt)
        : m_state(state), m_drain_timeout(drain_timeout) {}

    /// Applies the state of this node's VM in the fleet view that came into force.
    void on_view();

    void on_terminate();
    void on_server_draining(bool draining);

    /// Called when no connection to the server could be made. Clears the uptime, on which slow start depends.
    void on_server_down();

    /// Called when the server answered. If it was down, its uptime starts again.
    void on_server_up();

    /// Stops the node if it was asked to terminate, no run is left and the entries had time to learn of the
    /// drain.
    void stop_if_drained();

  private:
    template <typename Transition>
    void apply_transition(Transition&& transition);

    void on_state_changed(node_state before);
    [[nodiscard]] duration drain_timeout() const;
    [[nodiscard]] const char* cause_name() const;

    owner_state& m_state;
    std::optional<duration> m_drain_timeout;
    bool m_server_down = false;
    time_point m_drain_started_at;
    scoped_timer m_drain_timeout_timer;
    scoped_timer m_propagation_timer;
};

} // namespace cornelpier
