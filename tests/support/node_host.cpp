#include "tests/support/node_host.hpp"

#include <algorithm>
#include <utility>

namespace cornelpier::testing {

namespace {

/// Gap from which the daemon counts a pause.
constexpr duration shortest_pause{std::chrono::milliseconds{500}};
constexpr duration report_delay{200};
/// Step of the offsets between the nodes' clocks, which have nothing in common.
constexpr duration clock_step{std::chrono::seconds{1000}};

template <typename Event>
std::optional<time_point> earlier(std::optional<time_point> a, const Event* core) {
    const auto b = core == nullptr ? std::nullopt : core->next_due();
    return a && b ? std::min(*a, *b) : a ? a : b;
}

} // namespace

node_host::node_host(node_index index, event_queue& queue, fake_network& network, fake_server& server,
                     host_hooks hooks)
    : m_index(index), m_queue(queue), m_network(network), m_server(server), m_hooks(std::move(hooks)) {}

void node_host::start(node_identity identity, std::uint64_t seed, bool with_control,
                      traffic_options options) {
    ++m_process;
    m_clock_offset = clock_step * static_cast<std::int64_t>(m_index + 1);
    m_state = node_state::starting;
    m_traffic = std::make_unique<traffic_core>(identity, seed, local_now(), std::move(options));
    if (with_control) {
        m_control = std::make_unique<control_core>(std::move(identity), seed + 1, local_now());
    }
    advance();
}

void node_host::kill(bool notify_peers) {
    ++m_process;
    m_traffic.reset();
    m_control.reset();
    m_paused_at.reset();
    m_wake.reset();
    m_waiting.clear();
    m_runs.clear();
    m_server.cancel_all();
    m_network.end_process(m_index, notify_peers);
}

void node_host::pause() {
    if (alive() && !paused()) {
        m_paused_at = m_queue.now();
    }
}

void node_host::resume(pause_kind kind) {
    if (!paused()) {
        return;
    }
    const auto length = m_queue.now() - *m_paused_at;
    m_paused_at.reset();
    if (kind.frozen_clock) {
        m_clock_offset -= length;
    }

    if (length > shortest_pause) {
        const auto place = kind.late_notice ? m_waiting.end() : m_waiting.begin();
        const std::vector<any_event> gap{traffic_event{clock_gap{length}}, control_event{clock_gap{length}}};
        m_waiting.insert(place, gap.begin(), gap.end());
    }
    while (!m_waiting.empty()) {
        const auto event = std::move(m_waiting.front());
        m_waiting.pop_front();
        std::visit([this](const auto& it) { deliver(it); }, event);
    }
    advance();
}

bool node_host::is_waiting(call_id call) const {
    return std::ranges::any_of(m_waiting, [&](const any_event& event) {
        const auto* traffic = std::get_if<traffic_event>(&event);
        const auto* arrived = traffic == nullptr ? nullptr : std::get_if<call_arrived>(traffic);
        return arrived != nullptr && arrived->call == call;
    });
}

void node_host::deliver(const traffic_event& event) {
    if (paused()) {
        m_waiting.emplace_back(event);
        return;
    }
    if (alive()) {
        handle(event);
    }
}

void node_host::deliver(const control_event& event) {
    if (paused()) {
        m_waiting.emplace_back(event);
        return;
    }
    if (m_control != nullptr) {
        handle(event);
    }
}

void node_host::handle(const traffic_event& event) {
    const auto* received = std::get_if<message_received>(&event);
    const bool probed = received != nullptr && std::holds_alternative<probe>(received->message);
    traffic_actions actions;
    m_traffic->handle(event, local_now(), actions);

    m_probe_on = probed ? std::optional{received->link} : std::nullopt;
    perform(actions);
    m_probe_on.reset();
    forward_state();
    schedule_wake();
}

void node_host::handle(const control_event& event) {
    control_actions actions;
    m_control->handle(event, local_now(), actions);
    perform(actions);
    schedule_wake();
}

void node_host::advance() {
    if (!alive() || paused()) {
        return;
    }
    traffic_actions actions;
    m_traffic->advance(local_now(), actions);
    perform(actions);
    if (m_control != nullptr) {
        control_actions control;
        m_control->advance(local_now(), control);
        perform(control);
    }
    forward_state();
    schedule_wake();
}

void node_host::perform(traffic_actions& actions) {
    if (m_hooks.tamper) {
        m_hooks.tamper(m_index, actions);
    }
    for (const auto& action : actions) {
        std::visit([this](const auto& it) { on(it); }, action);
    }
}

void node_host::perform(const control_actions& actions) {
    for (const auto& action : actions) {
        std::visit([this](const auto& it) { on(it); }, action);
    }
}

/// Tells the control side about the drain.
void node_host::forward_state() {
    const auto state = alive() ? m_traffic->state() : m_state;
    if (state != std::exchange(m_state, state)) {
        deliver(control_event{own_state_changed{state}});
    }
}

void node_host::schedule_wake() {
    if (!alive()) {
        return;
    }
    const auto due = earlier(earlier(std::nullopt, m_traffic.get()), m_control.get());
    if (!due || (m_wake && *m_wake <= *due)) {
        return;
    }
    m_wake = due;
    m_queue.call_at(*due - m_clock_offset, [this, process = m_process, due] {
        if (process != m_process || m_wake != due) {
            return;
        }
        m_wake.reset();
        advance();
    });
}

void node_host::after(duration delay, const traffic_event& event) {
    m_queue.call_after(delay, [this, process = m_process, event] {
        if (process == m_process) {
            deliver(event);
        }
    });
}

void node_host::on(const send_message& action) {
    if (m_probe_on == action.link && std::holds_alternative<load_reading>(action.message)) {
        m_hooks.measured(m_index);
    }
    m_network.send(m_index, action.link, action.message);
}

void node_host::on(const start_run& action) {
    const auto run = action.run;
    m_runs.insert(run);
    m_server.start(run, action.request, [this, process = m_process, run](const fake_server::outcome& it) {
        if (process == m_process) {
            end_run(run, it);
        }
    });

    if (action.timeout <= duration{}) {
        return;
    }
    m_queue.call_after(action.timeout, [this, process = m_process, run] {
        if (process == m_process && m_runs.contains(run)) {
            m_server.cancel(run);
            end_run(run, server_failure::response_incomplete);
        }
    });
}

void node_host::end_run(run_id run, const fake_server::outcome& outcome) {
    if (m_runs.erase(run) == 0) {
        return;
    }
    if (const auto* response = std::get_if<http_response>(&outcome)) {
        deliver(traffic_event{server_answered{run, *response}});
        return;
    }
    deliver(traffic_event{server_failed{run, std::get<server_failure>(outcome)}});
}

void node_host::on(const cancel_run& action) {
    m_runs.erase(action.run);
    m_server.cancel(action.run);
}

void node_host::on(const read_server_report& /*action*/) {
    m_hooks.measured(m_index);
    if (const auto report = m_server.report()) {
        after(report_delay, *report);
        return;
    }
    after(report_delay, server_report_failed{});
}

} // namespace cornelpier::testing
