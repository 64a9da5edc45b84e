#pragma once

#include "cornelpier/message/traffic_messages.hpp"
#include "cornelpier/owner/scoped_timer.hpp"
#include "cornelpier/quarantine/run_trace.hpp"

#include <optional>
#include <string>

namespace cornelpier {

/// A run that the owner accepted and that has no final answer yet, queued or at the server.
struct accepted_run {
    run_id id;
    attempt_id attempt;
    http_request request;
    bool idempotent = false;
    std::optional<std::string> key; ///< Scoped key of its record in the key ledger; unset without a record.
    std::uint32_t depth = 0;
    bool outer_retry = false;
    std::string instance; ///< Server process that the entry named; empty: any.
    std::string route;    ///< Empty if the plan has no routes.
    request_class priority = request_class::order;
    duration baseline_service_time{}; ///< Expected at a slowness of 1; set only for runs with a route.
    time_point latest_start = time_point::max(); ///< Latest start that meets the route's objective.
    double slowness = 1;                         ///< Slowness of the server when the run started.
    std::uint32_t concurrency_at_start = 0;      ///< Runs at the server when this one started, including it.
    time_point deadline;
    std::optional<link_id> reply_to; ///< Unset if no answer is expected.
    bool at_server = false;
    time_point accepted_at;
    time_point dispatched_at;
    run_trace trace;              ///< Set when it is dispatched.
    bool is_suspect = false;      ///< Requests like it were in progress when a server ended.
    bool deadline_passed = false; ///< Still at the server, so that the ledger can record its outcome.
    scoped_timer timer;
};

} // namespace cornelpier
