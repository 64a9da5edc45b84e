#pragma once

#include "cornelpier/node/traffic_events.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace cornelpier {

/// Names of the header fields that callers, nodes and servers exchange. Names of fields that are read are in
/// lower case. A platform adapter replaces the defaults. A field with an empty name is neither sent nor read.
struct wire_names {
    std::string deadline = "cornelpier-deadline-ms"; ///< Remaining time, in whole milliseconds.
    std::string depth = "cornelpier-depth";          ///< Nesting depth of calls.
    std::string retry = "cornelpier-retry";          ///< `1` on a request that is itself a retry.
    std::string verdict = "Cornelpier-Verdict";      ///< On responses: whether the request ran.
    std::string token = "Cornelpier-Request";        ///< On responses: id of the request in fate queries.
    std::string key = "idempotency-key";
    std::string reserved_prefix = "cornelpier-"; ///< Such fields of callers are not forwarded to servers.

    std::string request_id;        ///< Id chosen by the caller; servers echo it in responses.
    std::string origin_service;    ///< Service of the VM where the request originated; set by the entry.
    std::string expected_instance; ///< Only server process that may run the request.
    std::string response_instance; ///< On load reports: the server process that responded.
    std::string not_run;           ///< Present on responses of servers that did not run the request.
    std::string response_seal;     ///< Present on every successful response of a server.
    std::string load;              ///< Load of the server, read by `parse_load`.

    std::string rate_limit =
        "cornelpier-rate-limit"; ///< On responses: requests per second that the server accepts.
    std::string leaving = "cornelpier-leaving"; ///< `1` on responses of a server that stops soon.

    std::string warm_up_remaining =
        "cornelpier-warm-up-ms"; ///< On load reports: milliseconds until the server is warm.

    /// Parses the value of the `load` field; null if the field is not used.
    std::optional<server_load_report> (*parse_load)(std::string_view) = nullptr;

    bool close_delimited_responses = false; ///< Servers may end a response by closing the connection.
    bool preserve_host = false;             ///< Forwards the caller's Host instead of the service name.
    bool fractional_retry_after = false;    ///< Retry-After may contain fractions of a second.
};

} // namespace cornelpier
