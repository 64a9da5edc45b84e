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

/// A complete and well-formed request from a caller.
struct call_arrived {
    call_id call;
    service_id service; ///< From the first label of the host; a matching route of the plan overrides it.
    http_request request;
    std::optional<std::string> key;   ///< Idempotency-Key.
    std::optional<duration> deadline; ///< Cornelpier-Deadline-Ms; the plan's deadline caps it.
    std::uint32_t depth = 0;          ///< Cornelpier-Depth; 0 for a call from outside the system.
    bool outer_retry = false;         ///< Cornelpier-Retry.
    std::string host = {};            ///< Value of the Host field.
};

/// A caller requests the fate of an earlier request, identified by the token of its response.
struct call_fate_requested {
    call_id call;
    std::string token;
};

/// The caller closed its connection; no response can be delivered.
struct call_abandoned {
    call_id call;
};

/// A link that this node opened is ready for messages.
struct link_opened {
    link_id link;
};

/// A link was closed or could not be opened. Also sent for accepted links.
struct link_closed {
    link_id link;
};

/// A message was received on a link.
struct message_received {
    link_id link;
    traffic_message message;
};

/// Load that a server reports in a response.
struct server_load_report {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    double slowness = 1; ///< Current duration of work, relative to the usual duration.
};

/// What a server asks of its callers in a response.
struct server_advice {
    /// Requests that it accepts from all callers together; unset: no limit.
    std::optional<rate> rate_limit = std::nullopt;
    bool leaving = false;   ///< It stops soon and wants no new requests.
    bool malformed = false; ///< A field could not be decoded and counts as absent.
};

/// The server sent a complete response to a run.
struct server_answered {
    run_id run;
    http_response response;
    bool refused = false; ///< The server states that it did not run the request.
    std::optional<server_load_report> load = std::nullopt;
    server_advice advice = {};
};

/// How a run failed at the server.
enum class server_failure : std::uint8_t {
    connect_failed,      ///< No byte was written.
    response_incomplete, ///< At least one byte was written; no complete response was received.
    connection_lost,     ///< As above, because the server closed or reset the connection.
};

/// A run ended without a complete response.
struct server_failed {
    run_id run;
    server_failure kind = server_failure::response_incomplete;
};

/// Health and load as the server reports them. They lag behind and may be wrong.
struct server_report {
    bool healthy = true;
    bool draining = false;
    std::uint32_t in_flight = 0;
    std::optional<server_load_report> load = std::nullopt;
    std::string instance = {}; ///< Server process that answered; empty if the report does not name it.
    server_advice advice = {};
    std::optional<duration> warm_up_remaining = std::nullopt; ///< Unset: the report does not mention it.
    bool warm_up_malformed = false; ///< The remaining time could not be decoded and counts as not mentioned.
};

/// The server's report could not be read.
struct server_report_failed {};

/// Whether anything listens at the server's address.
enum class server_presence : std::uint8_t {
    listening,
    absent,  ///< The connection was refused: the process has ended.
    unknown, ///< The check did not end in time.
};

/// Result of `check_server`.
struct server_checked {
    server_presence presence = server_presence::unknown;
};

/// The control side published a new fleet view.
struct fleet_changed {
    shared_fleet_view view;
};

/// Reasons to drain. Each is in effect until it is withdrawn.
enum class drain_cause : std::uint8_t { terminate, server_draining, vm_leaving };

/// The process was asked to stop.
struct terminate_requested {};

/// The stop deadline is over: the process exits soon, and calls in progress have to be answered now.
struct stop_deadline_reached {};

/// The process did not run for a while, for instance because its VM was paused.
struct clock_gap {
    duration length{};
};

using traffic_event =
    std::variant<call_arrived, call_fate_requested, call_abandoned, link_opened, link_closed,
                 message_received, server_answered, server_failed, server_report, server_report_failed,
                 server_checked, fleet_changed, terminate_requested, stop_deadline_reached, clock_gap>;

} // namespace cornelpier
