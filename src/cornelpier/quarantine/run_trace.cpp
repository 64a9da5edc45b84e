#include "cornelpier/quarantine/run_trace.hpp"

namespace cornelpier {

namespace {

constexpr std::size_t max_label_path_bytes = 120;

} // namespace

run_trace make_trace(const service_id& service, const http_request& request) {
    return {hash_head(service, request), request.body,
            request.method + ' ' + request.path.substr(0, max_label_path_bytes)};
}

} // namespace cornelpier
