#pragma once

#include "cornelpier/base/ids.hpp"
#include "cornelpier/message/http_fields.hpp"

#include <compare>
#include <cstdint>
#include <string>

namespace cornelpier {

/// Identifies requests with the same content. Ids, deadlines and other fields do not count, so that a repeat
/// has the fingerprint of the first request.
struct request_fingerprint {
    std::uint64_t head = 0; ///< Hash of service, method, host and path.
    std::uint64_t body = 0; ///< Hash of the body.

    friend bool operator==(const request_fingerprint&, const request_fingerprint&) = default;

    /// @copydoc strong_id::operator<=>
    friend std::strong_ordering operator<=>(const request_fingerprint& left,
                                            const request_fingerprint& right) {
        const std::strong_ordering order = left.head <=> right.head;
        return std::is_eq(order) ? left.body <=> right.body : order;
    }
};

/// @return the first half of a fingerprint, which does not depend on the size of the body.
std::uint64_t hash_head(const service_id& service, const http_request& request);

/// @param body null counts as empty.
/// @return the second half of a fingerprint.
std::uint64_t hash_body(const shared_body& body);

request_fingerprint fingerprint_of(const service_id& service, const http_request& request);

/// @return the fingerprint in hexadecimal.
std::string to_string(const request_fingerprint& fingerprint);

} // namespace cornelpier
