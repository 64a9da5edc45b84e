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

/// What a caller asks for. The body names the request: a repeat of a request has the same body.
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
    bool hidden_from_transcript = false; ///< Left out of the transcript.
};

/// What a caller received.
struct call_answer {
    time_point at;
    int status = 0;
    verdict outcome = verdict::unknown;
    std::string body;
    std::string token;
    duration retry_after{};
    bool close = false;
};

/// A call as its caller saw it.
struct call_record {
    call_request request;
    bool idempotent = false;
    bool is_fate_request = false; ///< Asks for the fate of another call; nothing runs.
    time_point sent;
    duration deadline{};
    std::vector<call_answer> answers;
    bool answer_optional = false; ///< The entry was paused or its process ended meanwhile.
};

/// A request that reached a server and may have taken effect.
struct execution {
    time_point at;
    target_id target;
    std::string body;
};

/// A time during which a target had a reason to drain.
struct drain_period {
    target_id target;
    drain_cause cause{};
    time_point from;
    std::optional<time_point> until;
};

/// What callers saw and what servers received, which is all that a check may look at.
struct history {
    std::vector<call_record> calls;
    std::vector<execution> executions;
    std::map<target_id, std::vector<time_point>> measurements;
    std::map<target_id, rate> measuring_budgets;
    std::vector<drain_period> drains;
    std::vector<std::string>
        interrupted_work; ///< Work that was in flight when a node reported that it had drained.
};

} // namespace cornelpier::testing
