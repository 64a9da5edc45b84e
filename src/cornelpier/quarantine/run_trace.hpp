#pragma once

#include "cornelpier/quarantine/request_fingerprint.hpp"

#include <string>

namespace cornelpier {

/// What is kept of a request at the server to recognise it if the server ends. The body is hashed only then.
struct run_trace {
    std::uint64_t head = 0; ///< `hash_head` of the request.
    shared_body body;
    std::string label; ///< Method and path for the log, shortened.
};

run_trace make_trace(const service_id& service, const http_request& request);

inline request_fingerprint fingerprint_of(const run_trace& trace) {
    return {trace.head, hash_body(trace.body)};
}

} // namespace cornelpier
