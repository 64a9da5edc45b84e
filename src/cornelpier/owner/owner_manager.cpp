#include "cornelpier/owner/owner_manager.hpp"

#include "cornelpier/owner/advice_monitor.hpp"
#include "cornelpier/owner/crash_monitor.hpp"
#include "cornelpier/owner/drain_controller.hpp"
#include "cornelpier/owner/evacuation_monitor.hpp"
#include "cornelpier/owner/fate_responder.hpp"
#include "cornelpier/owner/fresh_report_gate.hpp"
#include "cornelpier/owner/measurement_scheduler.hpp"
#include "cornelpier/owner/owner_state.hpp"
#include "cornelpier/owner/run_admission.hpp"
#include "cornelpier/owner/run_executor.hpp"
#include "cornelpier/owner/warm_up_monitor.hpp"

#include <utility>
#include <variant>

namespace cornelpier {

namespace {

/// Bounds the queue. The deadline check usually refuses runs long before it is full.
constexpr std::size_t max_queued_per_slot = 10;

/// Interval of the runs to a server that accepts none.
constexpr duration trial_run_interval = std::chrono::seconds{10};

constexpr int first_server_error_status = 500;
constexpr int status_misdirected_request = 421;

/// Poll interval while runs wait for a slowdown to end. Slowdowns last some hundred milliseconds.
constexpr duration deferred_poll_period = std::chrono::milliseconds{25};

} // namespace

/// Dispatches messages and events to the components of the owner.
class owner_manager::implementation {
  public:
    implementation(const node_identity& identity, timer_service& timers, random_source random,
                   const owner_options& options)
        : m_state(identity, timers, random), m_advice(m_state), m_warm_up(m_state),
          m_drain(m_state, options.drain_timeout), m_executor(m_state, m_drain),
          m_crashes(m_state, m_executor), m_admission(m_state, m_executor), m_fates(m_state),
          m_measurements(m_state), m_gate(m_state, m_admission, m_measurements),
          m_evacuations(m_state.outbox, m_state.view), m_drain_delay(options.drain_delay) {
        m_state.load.set_adaptive(options.adaptive_limit);
        m_warm_up.set_handlers([this] { on_warm_up_changed(); }, [this] { m_gate.request_report(); });
    }

    void on_message(link_id link, const traffic_message& message) {
        m_state.outbox.add_link(link);
        std::visit([&](const auto& it) { on(link, it); }, message);
    }

    void on_link_closed(link_id link) {
        m_state.outbox.remove_link(link);
        m_gate.on_link_closed(link);
        m_executor.on_link_closed(link);
    }

    void apply_view(const shared_fleet_view& view) {
        if (view == nullptr || view->current_plan == nullptr) {
            return;
        }
        m_state.set_view(view);
        const service_plan* service = m_state.service();
        if (service != nullptr) {
            const std::uint32_t slots = m_state.slots();
            m_state.load.configure(slots, service->deadline);
            m_state.queue.set_capacity(max_queued_per_slot * slots);
        }
        m_state.placement.update(service, m_state.now(), view->current_plan->evacuated_data_centres);
        const rate measuring_rate = service != nullptr ? service->measuring : rate{};
        m_measurements.set_rate(measuring_rate);
        // Without reports, only a run can tell that the server accepts more requests again.
        m_state.pacer.set_trial_interval(measuring_rate.per_second > 0 ? std::nullopt
                                                                       : std::optional{trial_run_interval});
        if (measuring_rate.per_second <= 0) {
            // Without reports nothing could remove this cause again.
            set_report_draining(false);
        }
        m_warm_up.on_view();
        m_drain.on_view();
        // A server may also leave without being reported as leaving; the plan then no longer lists it.
        if (service == nullptr || m_state.lifecycle.has_cause(drain_cause::vm_leaving)) {
            m_executor.refuse_queued(refusal::draining);
        }
        m_evacuations.on_view();
        if (m_state.is_evacuated()) {
            m_gate.forward_waiting();
            m_executor.refuse_queued(refusal::evacuated);
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
        m_drain.on_terminate();
        m_drain.stop_if_drained();
    }

    void fill_snapshot(traffic_snapshot& snapshot) const {
        const server_load load = m_state.runs.load(m_state.now());
        snapshot.state = m_state.lifecycle.state();
        snapshot.runs_at_server = m_state.runs.at_server();
        snapshot.runs_queued = m_state.queue.size();
        snapshot.concurrency_limit = m_state.load.limit();
        snapshot.server_rate_limit = m_state.pacer.rate_in_force(m_state.now());
        snapshot.warm_up_remaining = m_state.warm_up.remaining(m_state.now());
        snapshot.service_time = m_state.load.current_service_time(load);
        snapshot.server_crashes = m_crashes.count();
        snapshot.suspected_requests = m_state.suspects.size();
        snapshot.quarantined_requests = m_state.suspects.quarantined(m_state.now());
        snapshot.evacuated_data_centres = m_evacuations.count();
        snapshot.ledger_records = m_state.ledger.size();
        snapshot.measurements_last_second = static_cast<double>(m_measurements.taken_last_second());
    }

    owner_state m_state;
    advice_monitor m_advice;
    warm_up_monitor m_warm_up;
    drain_controller m_drain;
    run_executor m_executor;
    crash_monitor m_crashes;
    run_admission m_admission;
    fate_responder m_fates;
    measurement_scheduler m_measurements;
    fresh_report_gate m_gate;
    evacuation_monitor m_evacuations;
    bool m_report_draining = false; ///< The server's last report says that it drains.
    scoped_timer m_report_poll_timer;
    scoped_timer m_drain_timer;
    duration m_drain_delay;

    /// Updates the server's slowness from an answer or a report.
    void update_slowness(const std::optional<server_load_report>& load) {
        if (load) {
            m_state.slowness.on_report(load->slowness, m_state.now());
        }
    }

    void note_success(const server_answered& event) {
        const accepted_run* accepted = m_state.runs.find(event.run);
        if (accepted != nullptr && !event.refused && event.response.status < first_server_error_status) {
            m_crashes.on_success(accepted->trace);
        }
    }

    void apply_advice(const server_advice& advice, advice_source source) {
        if (m_advice.on_advice(advice, source)) {
            m_executor.refuse_unservable();
        }
        update_server_drain();
    }

    /// @param draining whether the server's report says that it drains.
    void set_report_draining(bool draining) {
        m_report_draining = draining;
        update_server_drain();
    }

    /// Keeps the report fresh while queued runs start: each start may be one too many for a server that has
    /// just turned cold.
    void refresh_report() {
        if (!m_state.queue.empty() && m_state.warm_up.needs_report(m_state.now())) {
            m_gate.request_report();
        }
    }

    /// Polls the server's report while runs wait for a slowdown to end, because nothing else reports its end.
    void poll_while_deferring() {
        if (!m_executor.is_deferring()) {
            m_report_poll_timer.cancel();
            return;
        }
        m_report_poll_timer.call_at(m_state.timers, m_state.now() + deferred_poll_period, [this] {
            m_gate.request_report();
            poll_while_deferring();
        });
    }

  private:
    /// The entries choose other targets while the server is cold, and return when it is warm.
    void on_warm_up_changed() {
        m_executor.refuse_unservable();
        m_executor.start_queued();
        m_state.outbox.broadcast(m_state.make_reading());
    }

    void update_server_drain() {
        const bool was_serving = m_state.lifecycle.state() == node_state::serving;
        m_drain.on_server_draining(m_report_draining || m_state.server_leaving);
        // The queued runs might start only when the server must not get any more.
        if (was_serving && m_state.server_leaving) {
            m_executor.refuse_queued(refusal::draining);
        }
    }

    void on(link_id link, const hello& message) {
        m_state.outbox.set_peer(link, message.process);
        const std::uint64_t version = m_state.view == nullptr ? 0 : m_state.view->current_plan->version;
        const node_identity& node = m_state.identity;
        m_state.outbox.send(link, hello{node.self, node.process, node.data_centre, version});
        m_state.outbox.send(link, m_state.make_reading());
        m_crashes.inform(link);
    }

    void on(link_id /*link*/, const suspect_update& message) { m_crashes.on_update(message); }

    void on(link_id link, const probe& /*message*/) {
        if (m_measurements.admit_probe()) {
            m_state.outbox.send(link, m_state.make_reading());
        }
    }

    void on(link_id link, const permit_request& /*message*/) {
        m_state.outbox.send(link, permit_grant{m_state.permits.issue(m_state.now())});
    }

    void on(link_id link, const run_request& message) {
        m_advice.on_remembered_limit(message.rate_limit);
        m_gate.on_run(link, message);
        poll_while_deferring();
    }

    void on(link_id /*link*/, const cancel_attempt& message) {
        if (!m_gate.on_cancel(message.attempt)) {
            m_executor.on_cancel(message.attempt);
        }
    }

    void on(link_id link, const fate_query& message) { m_fates.on_query(link, message); }
    void on(link_id link, const ping& /*message*/) { m_state.outbox.send(link, pong{}); }

    /// Ignores messages that only owners send.
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

void owner_manager::set_suspect_publisher(std::function<void(const suspect_update&)> publisher) {
    m_implementation->m_crashes.set_publisher(std::move(publisher));
}

void owner_manager::on_link_closed(link_id link) {
    m_implementation->on_link_closed(link);
}

void owner_manager::on_message(link_id link, const traffic_message& message) {
    m_implementation->on_message(link, message);
}

void owner_manager::on_server_answered(const server_answered& event) {
    m_implementation->note_success(event);
    m_implementation->update_slowness(event.load);
    m_implementation->apply_advice(event.advice, advice_source::run);
    if (event.response.status == status_misdirected_request) {
        m_implementation->m_warm_up.on_misdirected();
    }
    m_implementation->m_executor.on_answered(event);
    m_implementation->refresh_report();
    m_implementation->poll_while_deferring();
}

void owner_manager::on_server_failed(const server_failed& event) {
    // First, so that no queued run starts at full speed at the process that may replace the server.
    if (event.kind != server_failure::response_incomplete) {
        m_implementation->m_warm_up.on_server_ended();
    }
    if (event.kind == server_failure::connection_lost) {
        m_implementation->m_crashes.on_connection_lost(event.run);
        return;
    }
    m_implementation->m_executor.on_failed(event);
}

void owner_manager::on_server_report(const server_report& event) {
    m_implementation->m_executor.on_server_instance(event.instance);
    m_implementation->set_report_draining(event.draining);
    m_implementation->update_slowness(event.load);
    m_implementation->m_advice.on_instance(event.instance);
    m_implementation->m_warm_up.on_report(event);
    m_implementation->apply_advice(event.advice, advice_source::report);
    m_implementation->m_gate.on_report();
    m_implementation->m_executor.start_queued();
    m_implementation->poll_while_deferring();
}

void owner_manager::on_server_report_failed() {
    // A report that cannot be read says nothing about the server's state, so the drain causes stay.
    m_implementation->m_warm_up.on_report_failed();
    m_implementation->m_gate.on_report();
}

void owner_manager::on_server_checked(const server_checked& event) {
    m_implementation->m_crashes.on_server_checked(event.presence);
}

void owner_manager::on_fleet(const shared_fleet_view& view) {
    m_implementation->apply_view(view);
}

void owner_manager::on_terminate() {
    m_implementation->terminate();
}

void owner_manager::on_pause() {
    m_implementation->m_executor.refuse_overdue();
}

node_state owner_manager::state() const {
    return m_implementation->m_state.lifecycle.state();
}

bool owner_manager::idle() const {
    return m_implementation->m_state.runs.empty();
}

void owner_manager::fill_snapshot(traffic_snapshot& snapshot) const {
    m_implementation->fill_snapshot(snapshot);
}

} // namespace cornelpier
