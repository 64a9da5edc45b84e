#pragma once

#include "cornelpier/base/event_record.hpp"
#include "cornelpier/base/ids.hpp"
#include "cornelpier/base/units.hpp"
#include "cornelpier/base/verdict.hpp"
#include "cornelpier/message/http_fields.hpp"
#include "cornelpier/message/traffic_messages.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cornelpier {

/// Opens a link to a node. Ends in `link_opened` or `link_closed`.
struct open_link {
    link_id link;
    target_id peer;
    std::string address; ///< `IP:port`.
};

/// Closes a link immediately. No `link_closed` follows.
struct close_link {
    link_id link;
};

/// Sends a message on a link. The message is dropped if the link is closed.
struct send_message {
    link_id link;
    traffic_message message;
};

/// Sends the final response to a caller.
struct answer_caller {
    call_id call;
    http_response response;
    verdict outcome = verdict::unknown;
    std::string token;      ///< Request token for fate queries; empty if the request has no identity.
    duration retry_after{}; ///< Zero: no Retry-After field.
    bool close = false;     ///< Whether to send `Connection: close`.
};

/// Sends a request to the server. Ends in `server_answered` or `server_failed` unless cancelled.
struct start_run {
    run_id run;
    http_request request;
    bool fresh_connection = false; ///< Use a new connection or one with a response in the last 100 ms.
    duration timeout{};            ///< Maximum wait for the response.
    std::uint32_t depth = 0;
    bool outer_retry = false;
    duration deadline{};       ///< Time left until the caller's deadline; sent to the server.
    std::string instance = {}; ///< Server process that may run the request; empty: any.
};

/// Cancels a run and closes its connection. No event follows.
struct cancel_run {
    run_id run;
};

/// Reads the load report of the server. Ends in `server_report` or `server_report_failed`.
struct read_server_report {
    std::string path = {}; ///< Empty: the path from the settings.
};

/// Opens a connection to the server to learn whether its process has ended. Ends in `server_checked`.
struct check_server {};

/// Writes a numbered event to the log.
struct record_event {
    event_record record;
};

/// Metrics that the core reports.
enum class metric : std::uint8_t {
    call_latency,     ///< Microseconds from the arrival of a call to its response, by service and verdict.
    retry,            ///< Count.
    rechoice,         ///< Count of runs sent again after a refusal.
    hedge,            ///< Count.
    run_refused,      ///< Count.
    measurement,      ///< Count of reports read and probes answered.
    answer_discarded, ///< Count.
    run_started,      ///< Count of runs sent to the server.
    run_rate_limited, ///< Count of runs refused because of the server's rate limit.
    run_quarantined,  ///< Count of runs and calls rejected because of a quarantine.
    server_crashed,   ///< Count of ends of the server process with runs in progress.
    call_spilled,     ///< Count of calls that ran in a far data centre although the own one had targets.
    run_evacuated,    ///< Count of runs refused because the data centre is evacuated.
    run_refused_cold  ///< Count of runs refused because of the rate while the server was cold.
};

/// Records a value of a metric.
struct record_metric {
    metric kind{};
    service_id service;
    verdict outcome = verdict::unknown;
    double value = 1;
};

/// No run or call is in progress after a request to stop; the process may exit.
struct drained {};

using traffic_action = std::variant<open_link, close_link, send_message, answer_caller, start_run, cancel_run,
                                    read_server_report, check_server, record_event, record_metric, drained>;

using traffic_actions = std::vector<traffic_action>;

} // namespace cornelpier
