#include "cornelpier/entry/entry_manager.hpp"

#include "cornelpier/entry/answer_composer.hpp"
#include "cornelpier/entry/attempt_dispatcher.hpp"
#include "cornelpier/entry/call_driver.hpp"
#include "cornelpier/entry/call_table.hpp"
#include "cornelpier/entry/fate_request_handler.hpp"
#include "cornelpier/entry/health_reporter.hpp"
#include "cornelpier/entry/leaving_server_table.hpp"
#include "cornelpier/entry/link_set.hpp"
#include "cornelpier/entry/probe_scheduler.hpp"
#include "cornelpier/entry/quarantine_gate.hpp"
#include "cornelpier/entry/service_table.hpp"
#include "cornelpier/entry/spill_controller.hpp"
#include "cornelpier/entry/target_selector.hpp"

#include <utility>
#include <variant>

namespace cornelpier {

namespace {

/// Time after a pause in which everything that callers sent during it has been read.
constexpr duration backlog_read_time = std::chrono::seconds{1};

} // namespace

/// Connects the components of the entry and dispatches events to them.
class entry_manager::implementation {
  public:
    implementation(const node_identity& identity, timer_service& timers, random_source random,
                   entry_options options)
        : context{identity, timers, random, std::move(options), nullptr, nullptr, false, {}},
          services(context), round_trips(identity.data_centre), calls(identity.process),
          links(context, make_link_callbacks()), quarantine(context, links), spill(context, round_trips),
          reporter(context, health, services, spill),
          selector(context, {readings, leaving_servers, round_trips, health, links, spill}),
          composer(context), probes(context, services, readings, links),
          dispatcher(context, {calls, readings, round_trips, reporter, links}, make_settled_callback()),
          driver(context,
                 {calls, services, selector, dispatcher, composer, probes, reporter, quarantine, spill}),
          fate_requests(context, composer, links) {}

    void on_message(link_id link, const traffic_message& message) {
        const auto* peer = links.on_received(link, message);
        if (peer == nullptr) {
            if (const auto* reply = std::get_if<run_response>(&message)) {
                discard_answer(target_id{}, *reply);
            }
            return;
        }
        // Copied, because handling a message may close the link and erase the stored id.
        const target_id target = *peer;
        std::visit([&](const auto& it) { on(target, it); }, message);
    }

    void on_fleet(const shared_fleet_view& view) {
        const shared_fleet_view before = context.view;
        const bool plan_changed = before == nullptr || before->current_plan != view->current_plan;
        context.view = view;
        leaving_servers.on_view(*view);
        if (plan_changed) {
            services.on_plan_changed();
            links.on_plan_changed();
        }
        if (plan_changed && before != nullptr) {
            quarantine.on_plan_changed(*before);
        }
        if (plan_changed && !view->current_plan->evacuated_data_centres.empty()) {
            dispatcher.withdraw_evacuated();
        }
    }

    void on_pause() {
        context.backlog_until = context.now() + backlog_read_time;
        readings.drop_readings();
        links.reset_all();
    }

    entry_context context;
    reading_table readings;
    leaving_server_table leaving_servers;
    health_table health;
    service_table services;
    round_trip_table round_trips;
    call_table calls;
    link_set links;
    quarantine_gate quarantine;
    spill_controller spill;
    health_reporter reporter;
    target_selector selector;
    answer_composer composer;
    probe_scheduler probes;
    attempt_dispatcher dispatcher;
    call_driver driver;
    fate_request_handler fate_requests;

  private:
    link_callbacks make_link_callbacks() {
        return {[this](const target_id& target) {
                    quarantine.on_link_ready(target);
                    dispatcher.on_link_ready(target);
                    fate_requests.on_link_ready(target);
                },
                [this](const target_id& target, link_loss cause) {
                    quarantine.on_link_lost(target);
                    dispatcher.on_link_lost(target, cause);
                    fate_requests.on_link_lost(target, cause);
                },
                [this](const target_id& target) {
                    return dispatcher.awaits_reply(target) || fate_requests.awaits_reply(target);
                },
                [this](const target_id& target, duration round_trip) { on_round_trip(target, round_trip); }};
    }

    attempt_dispatcher::settled_callback make_settled_callback() {
        return [this](call_state& call, const attempt_state& attempt, const attempt_result& result) {
            driver.on_settled(call, attempt, result);
        };
    }

    void on_round_trip(const target_id& target, duration round_trip) {
        if (const auto* planned = context.find_target(target)) {
            round_trips.observe(target, planned->data_centre, round_trip);
        }
    }

    void on(const target_id& target, const hello& message) {
        if (message.from != target) {
            links.reset(target, link_loss::closed);
            return;
        }
        dispatcher.on_hello(target, message.process);
        fate_requests.on_hello(target, message.process);
    }

    void on(const target_id& target, const load_reading& message) {
        accept_reading(target, message);
        dispatcher.on_permit(target);
    }

    void on(const target_id& target, const permit_grant& message) {
        readings.accept_permit(target, message.permit, context.now());
        dispatcher.on_permit(target);
    }

    void on(const target_id& target, const run_response& message) {
        if (message.load) {
            accept_reading(target, *message.load);
        } else if (message.reason == refusal::no_permit) {
            readings.drop_permit(target);
        }
        if (!dispatcher.on_answer(target, message) && !fate_requests.expects(message.attempt)) {
            discard_answer(target, message);
        }
        if (message.load) {
            dispatcher.on_permit(target);
        }
    }

    void on(const target_id& target, const fate_reply& message) {
        if (message.load) {
            accept_reading(target, *message.load);
        }
        dispatcher.on_fate(target, message);
        fate_requests.on_fate(target, message);
    }

    void on(const target_id& target, const suspect_update& message) { quarantine.on_update(target, message); }

    /// Other messages need no handling: requests and `ping` arrive on accepted links only, and `pong` was
    /// already recorded as progress.
    template <typename Message>
    void on(const target_id& /*target*/, const Message& /*message*/) {}

    void accept_reading(const target_id& target, const load_reading& load) {
        if (load.target != target || !readings.accept(load, context.now())) {
            return;
        }
        const auto* planned = load.server_leaving ? context.find_target(target) : nullptr;
        leaving_servers.on_reading(load, planned == nullptr ? std::string{} : planned->instance,
                                   context.now());
    }

    void discard_answer(const target_id& target, const run_response& message) {
        const auto* service =
            context.view == nullptr ? nullptr : context.view->current_plan->service_of(target);
        context.count(metric::answer_discarded, service == nullptr ? service_id{} : service->id);
        context.log_event(event_number::answer_discarded,
                          {{"target", target.value()},
                           {"sequence", std::to_string(message.attempt.request.sequence)},
                           {"attempt", std::to_string(message.attempt.number)}});
    }
};

entry_manager::entry_manager(const node_identity& identity, timer_service& timers, random_source random,
                             entry_options options)
    : m_implementation(std::make_unique<implementation>(identity, timers, random, std::move(options))) {}

entry_manager::~entry_manager() = default;

void entry_manager::set_output(traffic_actions& actions) {
    m_implementation->context.actions = &actions;
}

void entry_manager::on_call(const call_arrived& event) {
    m_implementation->driver.on_call(event);
}

void entry_manager::on_fate_requested(const call_fate_requested& event) {
    m_implementation->fate_requests.on_fate_requested(event);
}

void entry_manager::on_abandoned(const call_abandoned& event) {
    m_implementation->driver.on_abandoned(event.call);
    m_implementation->fate_requests.on_abandoned(event.call);
}

void entry_manager::on_link_opened(link_id link) {
    m_implementation->links.on_opened(link);
}

void entry_manager::on_link_closed(link_id link) {
    m_implementation->links.on_closed(link);
}

void entry_manager::on_message(link_id link, const traffic_message& message) {
    m_implementation->on_message(link, message);
}

void entry_manager::on_fleet(const shared_fleet_view& view) {
    m_implementation->on_fleet(view);
}

void entry_manager::on_pause() {
    m_implementation->on_pause();
}

void entry_manager::publish_suspects(const suspect_update& update) {
    m_implementation->quarantine.publish(update);
}

void entry_manager::finish_all_calls() {
    m_implementation->driver.finish_all();
}

void entry_manager::set_draining(bool draining) {
    m_implementation->context.draining = draining;
}

std::size_t entry_manager::calls_in_progress() const {
    return m_implementation->calls.size() + m_implementation->fate_requests.size();
}

std::size_t entry_manager::open_links() const {
    return m_implementation->links.size();
}

} // namespace cornelpier
