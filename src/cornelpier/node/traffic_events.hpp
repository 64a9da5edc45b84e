#pragma once

#include "cornelpier/base/ids.hpp"
#include "cornelpier/base/units.hpp"
#include "cornelpier/fleet/fleet_view.hpp"
#include "cornelpier/message/traffic_messages.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace cornelpier {

/// A complete and well-formed request of a caller.
struct call_arrived {
    call_id call;
    service_id service; ///< By the first label of the host; a route of the plan replaces it.
    http_request request;
    std::optional<std::string> key;   ///< Idempotency-Key.
    std::optional<duration> deadline; ///< Cornelpier-Deadline-Ms; the plan's deadline caps it.
    std::uint32_t depth = 0;          ///< Cornelpier-Depth; 0 for a call from outside.
    bool outer_retry = false;         ///< Cornelpier-Retry.
    std::string host = {};            ///< Value of the Host field.
};

/// A caller asks what became of a request, by the token of an earlier answer.
struct call_fate_requested {
    call_id call;
    std::string token;
};

/// The caller's connection is gone; no answer can be delivered.
struct call_abandoned {
    call_id call;
};

/// A link opened by this node is ready for messages.
struct link_opened {
    link_id link;
};

/// A link was closed or could not be opened. Also sent for accepted links.
struct link_closed {
    link_id link;
};

/// A message arrived on a link.
struct message_received {
    link_id link;
    traffic_message message;
};

/// What a server said about its load with an answer.
struct server_load_report {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    double slowness = 1; ///< How many times as long as usual work takes at this moment.
};

/// The server's complete answer to a run.
struct server_answered {
    run_id run;
    http_response response;
    bool refused = false; ///< The server states that it did not run the request.
    std::optional<server_load_report> load = std::nullopt;
};

/// How a run failed at the server.
enum class server_failure : std::uint8_t {
    connect_failed,      ///< Nothing was written.
    response_incomplete, ///< Something was written; no complete answer came.
};

/// A run ended without a complete answer.
struct server_failed {
    run_id run;
    server_failure kind = server_failure::response_incomplete;
};

/// The server's own report. It lags and may mislead.
struct server_report {
    bool healthy = true;
    bool draining = false;
    std::uint32_t in_flight = 0;
    std::optional<server_load_report> load = std::nullopt;
    std::string instance = {}; ///< Process that answered; empty if it does not say.
};

/// The server's report could not be read.
struct server_report_failed {};

/// The control side published a new view.
struct fleet_changed {
    shared_fleet_view view;
};

/// Reasons to drain; each holds until it is withdrawn.
enum class drain_cause : std::uint8_t { terminate, server_draining, vm_leaving };

/// The process was asked to stop.
struct terminate_requested {};

/// The process will end before the calls in progress do.
struct stop_deadline_reached {};

/// The shell saw a gap in its clock.
struct clock_gap {
    duration length{};
};

using traffic_event =
    std::variant<call_arrived, call_fate_requested, call_abandoned, link_opened, link_closed,
                 message_received, server_answered, server_failed, server_report, server_report_failed,
                 fleet_changed, terminate_requested, stop_deadline_reached, clock_gap>;

} // namespace cornelpier
