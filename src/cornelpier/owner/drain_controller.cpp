#include "cornelpier/owner/drain_controller.hpp"

#include <algorithm>
#include <utility>

namespace cornelpier {

namespace {

constexpr duration min_drain_timeout = std::chrono::seconds{30};

/// Time for the entries to learn of the drain. An entry may have sent a run before that; if the node stopped
/// before the run arrives, its verdict would be unknown instead of refused.
constexpr duration drain_propagation_time = std::chrono::milliseconds{500};

} // namespace

template <typename Transition>
void drain_controller::apply_transition(Transition&& transition) {
    const node_state before = m_state.lifecycle.state();
    std::forward<Transition>(transition)(m_state.lifecycle);
    if (m_state.lifecycle.state() != before) {
        on_state_changed(before);
    }
}

void drain_controller::on_view() {
    const auto& states = m_state.view->vm_states;
    const auto it = states.find(m_state.identity.self);
    const vm_state vm = it == states.end() ? vm_state::unlisted : it->second;

    // A leaving VM that disappears from the list has not returned, so only `live` removes the cause.
    if (vm == vm_state::leaving) {
        apply_transition([](node_state_machine& lifecycle) { lifecycle.add_cause(drain_cause::vm_leaving); });
    } else if (vm == vm_state::live) {
        apply_transition(
            [](node_state_machine& lifecycle) { lifecycle.remove_cause(drain_cause::vm_leaving); });
    }
    apply_transition([](node_state_machine& lifecycle) { lifecycle.mark_ready(); });
}

void drain_controller::on_terminate() {
    if (m_state.lifecycle.has_cause(drain_cause::terminate)) {
        return;
    }
    apply_transition([](node_state_machine& lifecycle) { lifecycle.add_cause(drain_cause::terminate); });
    m_drain_timeout_timer.call_at(m_state.timers, m_state.now() + drain_timeout(), [this] {
        apply_transition([](node_state_machine& lifecycle) { lifecycle.finish(); });
    });
}

void drain_controller::on_server_draining(bool draining) {
    const bool before = m_state.lifecycle.has_cause(drain_cause::server_draining);
    if (draining && !before) {
        m_state.outbox.log(event_number::server_draining, {});
        apply_transition(
            [](node_state_machine& lifecycle) { lifecycle.add_cause(drain_cause::server_draining); });
    } else if (!draining && before) {
        apply_transition(
            [](node_state_machine& lifecycle) { lifecycle.remove_cause(drain_cause::server_draining); });
    }
}

void drain_controller::on_server_down() {
    m_state.outbox.log_throttled(event_number::server_unreachable, {});
    m_server_down = true;
    m_state.serving_since.reset();
}

void drain_controller::on_server_up() {
    if (std::exchange(m_server_down, false) && m_state.lifecycle.state() == node_state::serving) {
        m_state.serving_since = m_state.now();
    }
}

void drain_controller::stop_if_drained() {
    const bool terminating = m_state.lifecycle.has_cause(drain_cause::terminate);
    if (!terminating || !m_state.runs.empty() || m_state.lifecycle.state() != node_state::draining) {
        return;
    }
    const time_point propagated_at = m_drain_started_at + drain_propagation_time;
    if (m_state.outbox.has_links() && m_state.now() < propagated_at) {
        m_propagation_timer.call_at(m_state.timers, propagated_at, [this] { stop_if_drained(); });
        return;
    }
    apply_transition([](node_state_machine& lifecycle) { lifecycle.finish(); });
}

void drain_controller::on_state_changed(node_state before) {
    const node_state after = m_state.lifecycle.state();
    if (after == node_state::serving) {
        m_state.serving_since = m_server_down ? std::nullopt : std::optional{m_state.now()};
        const bool cancelled = before == node_state::draining;
        m_state.outbox.log(cancelled ? event_number::drain_cancelled : event_number::node_serving, {});
    } else if (after == node_state::draining) {
        m_drain_started_at = m_state.now();
        m_state.serving_since.reset();
        m_state.outbox.log(event_number::drain_started, {{"cause", cause_name()}});
    } else {
        m_drain_timeout_timer.cancel();
        m_state.outbox.log(event_number::node_stopped, {});
    }
    m_state.outbox.broadcast(m_state.make_reading());
}

duration drain_controller::drain_timeout() const {
    if (m_drain_timeout) {
        return *m_drain_timeout;
    }
    duration limit = min_drain_timeout;
    if (m_state.view != nullptr) {
        for (const auto& service : m_state.view->current_plan->services) {
            limit = std::max(limit, service.deadline);
        }
    }
    return limit;
}

const char* drain_controller::cause_name() const {
    if (m_state.lifecycle.has_cause(drain_cause::terminate)) {
        return "terminate";
    }
    return m_state.lifecycle.has_cause(drain_cause::vm_leaving) ? "vm_leaving" : "server_draining";
}

} // namespace cornelpier
