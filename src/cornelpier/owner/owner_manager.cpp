#include "cornelpier/owner/owner_manager.hpp"

#include "cornelpier/owner/arrival_gate.hpp"
#include "cornelpier/owner/fate_responder.hpp"
#include "cornelpier/owner/measuring_schedule.hpp"
#include "cornelpier/owner/owner_lifecycle.hpp"
#include "cornelpier/owner/owner_state.hpp"
#include "cornelpier/owner/run_executor.hpp"
#include "cornelpier/owner/run_intake.hpp"

#include <utility>
#include <variant>

namespace cornelpier {

namespace {

/// Bounds the queue; the deadline check usually refuses long before.
constexpr std::size_t queued_per_slot = 10;

/// Slow spells last some hundred milliseconds.
constexpr duration hold_check_period = std::chrono::milliseconds{25};

} // namespace

/// Routes messages and events to the part of the owner that handles them.
class owner_manager::implementation {
  public:
    implementation(const node_identity& identity, timer_service& timers, random_source random,
                   const owner_options& options)
        : m_state(identity, timers, random), m_lifecycle(m_state, options.drain_limit),
          m_executor(m_state, m_lifecycle), m_intake(m_state, m_executor), m_fates(m_state),
          m_measuring(m_state), m_gate(m_state, m_intake, m_measuring), m_drain_delay(options.drain_delay) {
        m_state.load.set_adaptive(options.adaptive_limit);
    }

    void receive(link_id link, const traffic_message& message) {
        m_state.outbox.add_link(link);
        std::visit([&](const auto& it) { on(link, it); }, message);
    }

    void close_link(link_id link) {
        m_state.outbox.remove_link(link);
        m_gate.on_link_closed(link);
        m_executor.on_link_closed(link);
    }

    void take_view(const shared_fleet_view& view) {
        if (view == nullptr || view->current_plan == nullptr) {
            return;
        }
        m_state.set_view(view);
        const service_plan* service = m_state.service();
        if (service != nullptr) {
            const std::uint32_t slots = m_state.slots();
            m_state.load.configure(slots, service->deadline);
            m_state.queue.set_capacity(queued_per_slot * slots);
        }
        m_state.homes.update(service, m_state.now());
        const rate measuring = service != nullptr ? service->measuring : rate{};
        m_measuring.set_rate(measuring);
        if (measuring.per_second <= 0) {
            // Without reports nothing could withdraw this cause.
            m_lifecycle.on_server_draining(false);
        }
        m_lifecycle.on_view();
        // A server may also leave without a word: its entry is gone then.
        if (service == nullptr || m_state.drain.has_cause(drain_cause::vm_leaving)) {
            m_executor.refuse_queued();
        }
        m_executor.start_queued();
    }

    void terminate() {
        if (m_drain_delay == duration::zero()) {
            start_drain();
            return;
        }
        m_drain_timer.call_at(m_state.timers, m_state.now() + m_drain_delay, [this] { start_drain(); });
    }

    void start_drain() {
        m_lifecycle.on_terminate();
        m_lifecycle.check_finished();
    }

    void describe(traffic_snapshot& snapshot) const {
        const server_load load = m_state.runs.load(m_state.now());
        snapshot.state = m_state.drain.state();
        snapshot.runs_at_server = m_state.runs.at_server();
        snapshot.runs_queued = m_state.queue.size();
        snapshot.concurrency_limit = m_state.load.limit();
        snapshot.service_time = m_state.load.service_time_now(load);
        snapshot.ledger_records = m_state.ledger.size();
        snapshot.measurements_last_second = static_cast<double>(m_measuring.taken_last_second());
    }

    owner_state m_state;
    owner_lifecycle m_lifecycle;
    run_executor m_executor;
    run_intake m_intake;
    fate_responder m_fates;
    measuring_schedule m_measuring;
    arrival_gate m_gate;
    scoped_timer m_hold_timer;
    scoped_timer m_drain_timer;
    duration m_drain_delay;

    /// Takes the speed that came with an answer or a report.
    void take_figures(const std::optional<server_load_report>& load) {
        if (load) {
            m_state.slowness.on_figure(load->slowness, m_state.now());
        }
    }

    /// While runs wait for the end of a slow spell, nothing else tells of it.
    void watch_hold() {
        if (!m_executor.is_holding()) {
            m_hold_timer.cancel();
            return;
        }
        m_hold_timer.call_at(m_state.timers, m_state.now() + hold_check_period, [this] {
            m_gate.ask();
            watch_hold();
        });
    }

  private:
    void on(link_id link, const hello& message) {
        m_state.outbox.set_peer(link, message.process);
        const std::uint64_t version = m_state.view == nullptr ? 0 : m_state.view->current_plan->version;
        const node_identity& node = m_state.identity;
        m_state.outbox.send(link, hello{node.self, node.process, node.data_centre, version});
        m_state.outbox.send(link, m_state.make_reading());
    }

    void on(link_id link, const probe& /*message*/) {
        if (m_measuring.admit_probe()) {
            m_state.outbox.send(link, m_state.make_reading());
        }
    }

    void on(link_id link, const permit_request& /*message*/) {
        m_state.outbox.send(link, permit_grant{m_state.permits.issue(m_state.now())});
    }

    void on(link_id link, const run& message) {
        m_gate.on_run(link, message);
        watch_hold();
    }

    void on(link_id /*link*/, const cancel& message) {
        if (!m_gate.on_cancel(message.attempt)) {
            m_executor.on_cancel(message.attempt);
        }
    }

    void on(link_id link, const fate_query& message) { m_fates.on_query(link, message); }
    void on(link_id link, const ping& /*message*/) { m_state.outbox.send(link, pong{}); }

    /// Messages that only owners send.
    template <typename Message>
    void on(link_id /*link*/, const Message& /*message*/) {}
};

owner_manager::owner_manager(const node_identity& identity, timer_service& timers, random_source random,
                             const owner_options& options)
    : m_implementation(std::make_unique<implementation>(identity, timers, random, options)) {}

owner_manager::~owner_manager() = default;

void owner_manager::set_output(traffic_actions& actions) {
    m_implementation->m_state.outbox.set_output(actions);
}

void owner_manager::on_link_closed(link_id link) {
    m_implementation->close_link(link);
}

void owner_manager::on_message(link_id link, const traffic_message& message) {
    m_implementation->receive(link, message);
}

void owner_manager::on_server_answered(const server_answered& event) {
    m_implementation->take_figures(event.load);
    m_implementation->m_executor.on_answered(event);
    m_implementation->watch_hold();
}

void owner_manager::on_server_failed(const server_failed& event) {
    m_implementation->m_executor.on_failed(event);
}

void owner_manager::on_server_report(const server_report& event) {
    m_implementation->m_executor.on_instance(event.instance);
    m_implementation->m_lifecycle.on_server_draining(event.draining);
    m_implementation->take_figures(event.load);
    m_implementation->m_gate.on_report();
    m_implementation->m_executor.start_queued();
    m_implementation->watch_hold();
}

void owner_manager::on_server_report_failed() {
    // A report that cannot be read says nothing about the server's state; the causes to drain stay.
    m_implementation->m_gate.on_report();
}

void owner_manager::on_fleet(const shared_fleet_view& view) {
    m_implementation->take_view(view);
}

void owner_manager::on_terminate() {
    m_implementation->terminate();
}

void owner_manager::on_pause() {
    m_implementation->m_executor.refuse_overdue();
}

node_state owner_manager::state() const {
    return m_implementation->m_state.drain.state();
}

bool owner_manager::idle() const {
    return m_implementation->m_state.runs.empty();
}

void owner_manager::describe(traffic_snapshot& snapshot) const {
    m_implementation->describe(snapshot);
}

} // namespace cornelpier
