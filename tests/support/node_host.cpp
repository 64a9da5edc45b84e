#include "tests/support/node_host.hpp"

#include <algorithm>
#include <utility>

namespace cornelpier::testing {

namespace {

/// The daemon counts clock gaps above this duration as pauses.
constexpr duration min_detected_pause{std::chrono::milliseconds{500}};
constexpr duration server_report_delay{200};
/// Offset between the clocks of consecutive nodes, since monotonic clocks of different machines are
/// unrelated.
constexpr duration clock_offset_step{std::chrono::seconds{1000}};

template <typename Core>
std::optional<time_point> earlier_due(std::optional<time_point> a, const Core* core) {
    const auto b = core == nullptr ? std::nullopt : core->next_due();
    return a && b ? std::min(*a, *b) : a ? a : b;
}

} // namespace

node_host::node_host(node_index index, event_queue& queue, fake_network& network, fake_server& server,
                     host_hooks hooks)
    : m_index(index), m_queue(queue), m_network(network), m_server(server), m_hooks(std::move(hooks)) {}

void node_host::start(node_identity identity, std::uint64_t seed, bool run_control_core,
                      traffic_options options) {
    ++m_process_generation;
    m_clock_offset = clock_offset_step * static_cast<std::int64_t>(m_index + 1);
    m_state = node_state::starting;
    m_traffic = std::make_unique<traffic_core>(identity, seed, local_now(), std::move(options));
    if (run_control_core) {
        m_control = std::make_unique<control_core>(std::move(identity), seed + 1, local_now());
    }
    advance();
}

void node_host::kill(bool notify_peers) {
    ++m_process_generation;
    m_traffic.reset();
    m_control.reset();
    m_paused_at.reset();
    m_scheduled_wake.reset();
    m_queued_events.clear();
    m_runs.clear();
    m_server.cancel_all();
    m_network.end_process(m_index, notify_peers);
}

void node_host::pause() {
    if (alive() && !paused()) {
        m_paused_at = m_queue.now();
    }
}

void node_host::resume(resume_options options) {
    if (!paused()) {
        return;
    }
    const auto length = m_queue.now() - *m_paused_at;
    m_paused_at.reset();
    if (options.clock_frozen) {
        m_clock_offset -= length;
    }

    if (length > min_detected_pause) {
        const auto position = options.gap_event_last ? m_queued_events.end() : m_queued_events.begin();
        const std::vector<any_event> gap_events{traffic_event{clock_gap{length}},
                                                control_event{clock_gap{length}}};
        m_queued_events.insert(position, gap_events.begin(), gap_events.end());
    }
    while (!m_queued_events.empty()) {
        const auto event = std::move(m_queued_events.front());
        m_queued_events.pop_front();
        std::visit([this](const auto& it) { deliver(it); }, event);
    }
    advance();
}

bool node_host::is_queued(call_id call) const {
    return std::ranges::any_of(m_queued_events, [&](const any_event& event) {
        const auto* traffic = std::get_if<traffic_event>(&event);
        const auto* arrived = traffic == nullptr ? nullptr : std::get_if<call_arrived>(traffic);
        return arrived != nullptr && arrived->call == call;
    });
}

void node_host::deliver(const traffic_event& event) {
    if (paused()) {
        m_queued_events.emplace_back(event);
        return;
    }
    if (alive()) {
        handle(event);
    }
}

void node_host::deliver(const control_event& event) {
    if (paused()) {
        m_queued_events.emplace_back(event);
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

    m_probe_link = probed ? std::optional{received->link} : std::nullopt;
    perform(actions);
    m_probe_link.reset();
    report_state_to_control();
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
    report_state_to_control();
    schedule_wake();
}

void node_host::perform(traffic_actions& actions) {
    if (m_hooks.inject_fault) {
        m_hooks.inject_fault(m_index, actions);
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

void node_host::report_state_to_control() {
    const auto state = alive() ? m_traffic->state() : m_state;
    if (state != std::exchange(m_state, state)) {
        deliver(control_event{own_state_changed{state}});
    }
}

void node_host::schedule_wake() {
    if (!alive()) {
        return;
    }
    const auto due = earlier_due(earlier_due(std::nullopt, m_traffic.get()), m_control.get());
    if (!due || (m_scheduled_wake && *m_scheduled_wake <= *due)) {
        return;
    }
    m_scheduled_wake = due;
    m_queue.call_at(*due - m_clock_offset, [this, process = m_process_generation, due] {
        if (process != m_process_generation || m_scheduled_wake != due) {
            return;
        }
        m_scheduled_wake.reset();
        advance();
    });
}

void node_host::deliver_after(duration delay, const traffic_event& event) {
    m_queue.call_after(delay, [this, process = m_process_generation, event] {
        if (process == m_process_generation) {
            deliver(event);
        }
    });
}

void node_host::on(const send_message& action) {
    if (m_probe_link == action.link && std::holds_alternative<load_reading>(action.message)) {
        m_hooks.on_measurement(m_index);
    }
    m_network.send(m_index, action.link, action.message);
}

void node_host::on(const start_run& action) {
    const auto run = action.run;
    m_runs.insert(run);
    m_server.start(run, action.request,
                   [this, process = m_process_generation, run](const fake_server::outcome& it) {
                       if (process == m_process_generation) {
                           end_run(run, it);
                       }
                   });

    if (action.timeout <= duration{}) {
        return;
    }
    m_queue.call_after(action.timeout, [this, process = m_process_generation, run] {
        if (process == m_process_generation && m_runs.contains(run)) {
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
        server_answered event{run, *response};
        event.advice = m_server.advice();
        deliver(traffic_event{std::move(event)});
        return;
    }
    deliver(traffic_event{server_failed{run, std::get<server_failure>(outcome)}});
}

void node_host::on(const cancel_run& action) {
    m_runs.erase(action.run);
    m_server.cancel(action.run);
}

void node_host::on(const check_server& /*action*/) {
    deliver_after(server_report_delay,
                  server_checked{m_server.is_down() ? server_presence::absent : server_presence::listening});
}

void node_host::on(const read_server_report& /*action*/) {
    m_hooks.on_measurement(m_index);
    if (const auto report = m_server.report()) {
        deliver_after(server_report_delay, *report);
        return;
    }
    deliver_after(server_report_delay, server_report_failed{});
}

} // namespace cornelpier::testing
