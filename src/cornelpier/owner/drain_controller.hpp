#pragma once

#include "cornelpier/owner/owner_state.hpp"

#include <optional>

namespace cornelpier {

/// Drives the drain of the owner: causes, announcement to the entries, end.
class drain_controller {
  public:
    /// @param state outlives the object.
    /// @param drain_timeout time for the runs in progress after a termination; nothing: by the plan.
    explicit drain_controller(owner_state& state, std::optional<duration> drain_timeout = std::nullopt)
        : m_state(state), m_drain_timeout(drain_timeout) {}

    /// Takes the state of the own VM from a view that came into force.
    void on_view();

    void on_terminate();
    void on_server_draining(bool draining);

    /// The server could not be reached.
    void on_server_down();

    /// The server answered; after it was down its uptime starts again.
    void on_server_up();

    /// Stops the node if it was told to terminate and no work is left.
    void stop_if_drained();

  private:
    template <typename Change>
    void apply_transition(Change&& transition);

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
