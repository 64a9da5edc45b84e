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

/// Closes a link at once. No `link_closed` follows.
struct close_link {
    link_id link;
};

/// Sends a message on a link; dropped if the link is gone.
struct send_message {
    link_id link;
    traffic_message message;
};

/// The final answer to a caller.
struct answer_caller {
    call_id call;
    http_response response;
    verdict outcome = verdict::unknown;
    std::string token;      ///< Empty if the request was never given an identity.
    duration retry_after{}; ///< Zero: no Retry-After.
    bool close = false;     ///< Send `Connection: close`.
};

/// Hands a request to the server. Ends in `server_answered` or `server_failed`, unless cancelled.
struct start_run {
    run_id run;
    http_request request;
    bool fresh_connection = false; ///< Use a new connection or one that answered within 100 ms.
    duration timeout{};            ///< Time after which the answer is given up on.
    std::uint32_t depth = 0;
    bool outer_retry = false;
    duration deadline{};       ///< Time left to the caller's deadline; told to the server.
    std::string instance = {}; ///< Server process that may run it; empty: any.
};

/// Gives up on a run. Its connection is closed; no event follows.
struct cancel_run {
    run_id run;
};

/// Reads the server's report. Ends in `server_report` or `server_report_failed`.
struct read_server_report {
    std::string path = {}; ///< Empty: the one of the settings.
};

/// Writes a numbered event to the log.
struct record_event {
    event_record record;
};

/// What a measurement counts.
enum class metric : std::uint8_t {
    call_latency,    ///< Microseconds from arrival to answer, by service and verdict.
    retry,           ///< Count.
    rechoice,        ///< Count of runs sent again after a refusal.
    hedge,           ///< Count.
    run_refused,     ///< Count.
    measurement,     ///< Count of reports read and probes answered.
    answer_discarded ///< Count.
};

/// A value for the metrics of the shell.
struct record_metric {
    metric kind{};
    service_id service;
    verdict outcome = verdict::unknown;
    double value = 1;
};

/// Nothing is in flight and the node drains because it was asked to stop; the process may end.
struct drained {};

using traffic_action = std::variant<open_link, close_link, send_message, answer_caller, start_run, cancel_run,
                                    read_server_report, record_event, record_metric, drained>;

using traffic_actions = std::vector<traffic_action>;

} // namespace cornelpier
