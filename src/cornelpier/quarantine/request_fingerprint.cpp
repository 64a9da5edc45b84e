#include "cornelpier/quarantine/request_fingerprint.hpp"

#include "cornelpier/base/hash.hpp"
#include "cornelpier/base/hexadecimal.hpp"

namespace cornelpier {

std::uint64_t hash_head(const service_id& service, const http_request& request) {
    // No part can contain a line feed, so different requests never yield the same text.
    std::string text = service.value();
    text += '\n';
    text += request.method;
    text += '\n';
    if (const std::string* host = find_field(request.fields, "host")) {
        text += *host;
    }
    text += '\n';
    text += request.path;
    return stable_hash(text);
}

std::uint64_t hash_body(const shared_body& body) {
    return stable_hash(body == nullptr ? std::string_view{} : std::string_view{*body});
}

request_fingerprint fingerprint_of(const service_id& service, const http_request& request) {
    return {hash_head(service, request), hash_body(request.body)};
}

std::string to_string(const request_fingerprint& fingerprint) {
    return to_hexadecimal(fingerprint.head) + '.' + to_hexadecimal(fingerprint.body);
}

} // namespace cornelpier
