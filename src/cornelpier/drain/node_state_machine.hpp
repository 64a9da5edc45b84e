#pragma once

#include "cornelpier/message/traffic_messages.hpp"
#include "cornelpier/node/traffic_events.hpp"

#include <memory>

namespace cornelpier {

/// Lifecycle of a node: starting, serving, draining, stopped. Tracks each drain cause separately.
class node_state_machine {
  public:
    node_state_machine();
    ~node_state_machine();

    node_state_machine(const node_state_machine&) = delete;
    node_state_machine& operator=(const node_state_machine&) = delete;
    node_state_machine(node_state_machine&&) = delete;
    node_state_machine& operator=(node_state_machine&&) = delete;

    /// Called when a plan is in force. The node starts to serve, or drains if there is a cause.
    void mark_ready();

    /// Adds a drain cause.
    void add_cause(drain_cause cause);

    /// Removes a drain cause. The drain ends when none is left. `drain_cause::terminate` cannot be removed.
    void remove_cause(drain_cause cause);

    /// Called when no run is left or the drain timeout has passed. Stops a node that was asked to terminate.
    void finish();

    [[nodiscard]] node_state state() const;
    [[nodiscard]] bool has_cause(drain_cause cause) const;

  private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace cornelpier
