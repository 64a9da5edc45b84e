#pragma once

#include "cornelpier/base/ids.hpp"
#include "cornelpier/base/units.hpp"
#include "cornelpier/message/http_fields.hpp"

#include "daemon/wire/wire_names.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace cornelpier {

/// Why a request is rejected before it reaches the decision core, always with verdict `not_run`.
struct request_error {
    int status = 400;
    std::string reason; ///< One sentence without a full stop; sent as body and logged.
};

/// Head of a request as received.
struct request_head {
    std::string method;
    std::string target;
    http_fields fields; ///< All fields in received order, names in lower case.
};

/// Head of a well-formed request.
struct validated_head {
    http_request request; ///< Without hop-by-hop, framing and Cornelpier fields; body empty.
    service_id service;   ///< First label of the host name.
    std::string host;
    std::optional<std::string> key;
    std::optional<duration> deadline;
    std::uint32_t depth = 0;
    bool outer_retry = false;
    std::optional<std::string> fate_token; ///< Token of the request whose fate is queried.
    bool expects_continue = false;
};

/// Path prefix of fate queries.
inline constexpr std::string_view fate_path = "/cornelpier/requests/";

/// Validates framing, path, Host and Cornelpier fields. It is stricter than the HTTP parser to prevent
/// request smuggling: if two parsers framed a request differently, part of it could run as another caller's
/// request.
/// @param names names of the header fields to read.
/// @param own_service service of the VM on which the requests originate.
/// @return the validated head, or why the request is rejected.
std::variant<validated_head, request_error> validate_request(request_head head, const wire_names& names = {},
                                                             const service_id& own_service = {});

} // namespace cornelpier
