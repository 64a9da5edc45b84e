#pragma once

#include "cornelpier/base/random_source.hpp"
#include "cornelpier/entry/entry_options.hpp"
#include "cornelpier/fleet/fleet_view.hpp"
#include "cornelpier/node/node_identity.hpp"
#include "cornelpier/node/traffic_actions.hpp"
#include "cornelpier/timer/timer_service.hpp"

#include <utility>

namespace cornelpier {

/// State shared by the components of the entry.
struct entry_context {
    const node_identity& identity;
    timer_service& timers;
    random_source random;
    entry_options options;
    shared_fleet_view view;             ///< Null until the first fleet view arrives.
    traffic_actions* actions = nullptr; ///< Never null while an event is handled.
    bool draining = false;
    time_point backlog_until{}; ///< Calls read before may have been received during a process pause.

    [[nodiscard]] time_point now() const { return timers.now(); }

    void emit(traffic_action action) const { actions->push_back(std::move(action)); }

    void log_event(event_number number, std::vector<std::pair<std::string, std::string>> fields) const {
        emit(record_event{{number, std::move(fields)}});
    }

    /// Increments a counter metric.
    void count(metric kind, const service_id& service) const {
        emit(record_metric{kind, service, verdict::unknown, 1});
    }

    /// @return the target in the plan in force, or nullptr.
    [[nodiscard]] const target_plan* find_target(const target_id& id) const {
        return view == nullptr ? nullptr : view->current_plan->find_target(id);
    }

    /// @return the service in the plan in force, or nullptr.
    [[nodiscard]] const service_plan* find_service(const service_id& id) const {
        return view == nullptr ? nullptr : view->current_plan->find_service(id);
    }
};

} // namespace cornelpier
