#pragma once

#include "cornelpier/node/traffic_events.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace cornelpier {

/// Names of the header fields that callers, nodes and servers exchange; lower case unless only sent. The
/// defaults are the project's own; an adapter replaces them. An empty name is neither sent nor read.
struct wire_names {
    std::string deadline = "cornelpier-deadline-ms"; ///< Time left, in whole milliseconds.
    std::string depth = "cornelpier-depth";          ///< Nesting of calls.
    std::string retry = "cornelpier-retry";          ///< `1` on a request that is itself a retry.
    std::string verdict = "Cornelpier-Verdict";      ///< On answers: whether the request ran.
    std::string token = "Cornelpier-Request";        ///< On answers: names the request in fate queries.
    std::string key = "idempotency-key";
    std::string reserved_prefix = "cornelpier-"; ///< Fields that callers' requests must not carry to servers.

    std::string request_id;        ///< Id that the caller chose; servers repeat it on their answers.
    std::string origin_service;    ///< Service on whose VM a request began; set by the entry.
    std::string expected_instance; ///< Server process that may run the request.
    std::string response_instance; ///< On reports: the server process that answered.
    std::string not_run;           ///< Present on answers of servers that did not run the request.
    std::string response_seal;     ///< Present on every success of a server.
    std::string load;              ///< Load of the server, read by `parse_load`.

    /// Reads the value of `load`; null if there is no such field.
    std::optional<server_load_report> (*parse_load)(std::string_view) = nullptr;

    bool close_delimited_responses = false; ///< Servers may end an answer by closing the connection.
    bool preserve_host = false;             ///< Servers get the caller's Host instead of the service's name.
    bool fractional_retry_after = false;    ///< Retry-After may carry fractions of a second.
};

} // namespace cornelpier
