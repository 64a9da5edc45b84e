#pragma once

#include "cornelpier/base/ids.hpp"
#include "cornelpier/base/verdict.hpp"
#include "cornelpier/message/http_fields.hpp"
#include "cornelpier/node/traffic_events.hpp"

#include "tests/support/event_queue.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cornelpier::testing {

/// Call as sent. The body identifies the request: repeats of a request have the same body.
struct call_request {
    std::string name;
    target_id entry;
    service_id service;
    std::string method = "GET";
    std::string path = "/";
    std::string body;
    std::optional<std::string> key;
    std::optional<duration> deadline;
    std::uint32_t depth = 0;
    bool outer_retry = false;
    bool hidden_from_transcript = false;
};

/// Answer as received by the caller.
struct call_answer {
    time_point at;
    int status = 0;
    verdict outcome = verdict::unknown;
    std::string body;
    std::string token;
    duration retry_after{};
    bool close = false;
};

/// Call and its answers as observed by the caller.
struct call_record {
    call_request request;
    bool idempotent = false;
    bool is_fate_request = false; ///< Queries the fate of another call and executes nothing.
    time_point sent;
    duration deadline{};
    std::vector<call_answer> answers;
    bool answer_optional = false; ///< The caller disconnected, or its entry was paused or down.
};

/// Request that reached a server and may have taken effect.
struct execution {
    time_point at;
    target_id target;
    std::string body;
};

/// Period during which a drain cause applied to a target.
struct drain_period {
    target_id target;
    drain_cause cause{};
    time_point from;
    std::optional<time_point> until;
};

/// Observations of callers and servers, the only input of the checks.
struct history {
    std::vector<call_record> calls;
    std::vector<execution> executions;
    std::map<target_id, std::vector<time_point>> measurements;
    std::map<target_id, rate> measuring_budgets;
    std::vector<drain_period> drains;
    std::vector<std::string> interrupted_work; ///< In flight when a node reported the end of its drain.
};

} // namespace cornelpier::testing
