#pragma once

#include "cornelpier/message/traffic_messages.hpp"
#include "cornelpier/node/traffic_events.hpp"

#include <memory>

namespace cornelpier {

/// Lifecycle of a node: starting, serving, draining, stopped. Each cause to drain is tracked on its own.
class node_state_machine {
  public:
    node_state_machine();
    ~node_state_machine();

    node_state_machine(const node_state_machine&) = delete;
    node_state_machine& operator=(const node_state_machine&) = delete;
    node_state_machine(node_state_machine&&) = delete;
    node_state_machine& operator=(node_state_machine&&) = delete;

    /// The first plan is in force: the node serves, or drains if there is a cause.
    void mark_ready();

    /// A cause holds from now on.
    void add_cause(drain_cause cause);

    /// A cause no longer holds. `drain_cause::terminate` cannot be withdrawn.
    void remove_cause(drain_cause cause);

    /// No work is left or the time for it is over. Stops the node if it was told to terminate.
    void finish();

    [[nodiscard]] node_state state() const;
    [[nodiscard]] bool has_cause(drain_cause cause) const;

  private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace cornelpier
