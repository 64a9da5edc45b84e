#pragma once

#include "cornelpier/base/random_source.hpp"
#include "cornelpier/entry/entry_options.hpp"
#include "cornelpier/fleet/fleet_view.hpp"
#include "cornelpier/node/node_identity.hpp"
#include "cornelpier/node/traffic_actions.hpp"
#include "cornelpier/timer/timer_service.hpp"

#include <utility>

namespace cornelpier {

/// What the parts of the entry share.
struct entry_context {
    const node_identity& identity;
    timer_service& timers;
    random_source random;
    entry_options options;
    shared_fleet_view view;            ///< Null until the first view arrives.
    traffic_actions* output = nullptr; ///< Never null while an event is handled.
    bool draining = false;
    time_point paused_until{}; ///< Until then, calls may have waited unread during a pause of the process.

    [[nodiscard]] time_point now() const { return timers.now(); }

    /// Appends an action to the output.
    void emit(traffic_action action) const { output->push_back(std::move(action)); }

    /// Appends a log event to the output.
    void record(event_number number, std::vector<std::pair<std::string, std::string>> fields) const {
        emit(record_event{{number, std::move(fields)}});
    }

    /// Appends a count of one to the output.
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
