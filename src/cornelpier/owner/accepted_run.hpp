#pragma once

#include "cornelpier/message/traffic_messages.hpp"
#include "cornelpier/owner/scoped_timer.hpp"

#include <optional>
#include <string>

namespace cornelpier {

/// A run that the owner accepted and that has no final answer yet.
struct accepted_run {
    run_id id;
    attempt_id attempt;
    http_request request;
    bool idempotent = false;
    std::optional<std::string> key; ///< Key in the key ledger; nothing if it has no record there.
    std::uint32_t depth = 0;
    bool outer_retry = false;
    std::string instance; ///< Server process that may run it; empty: any.
    std::string route;    ///< Empty if the plan has no routes.
    request_class priority = request_class::order;
    duration baseline_service_time{}; ///< Expected time at a server of usual speed; of routed runs only.
    time_point latest_start = time_point::max(); ///< To meet the objective.
    double slowness = 1;                         ///< Of the server when the run began.
    std::uint32_t concurrency_at_start = 0;      ///< Runs at the server, this one included.
    time_point deadline;
    std::optional<link_id> reply_to; ///< Nothing if nobody waits for the answer.
    bool at_server = false;
    time_point accepted_at;
    time_point dispatched_at;
    bool deadline_passed = false; ///< It runs on at the server so that its result reaches the ledger.
    scoped_timer timer;
};

} // namespace cornelpier
