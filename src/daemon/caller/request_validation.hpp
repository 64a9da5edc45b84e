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

/// Why a caller's request is answered by the shell, always with verdict `not_run`.
struct request_error {
    int status = 400;
    std::string reason; ///< One sentence without a full stop; sent as body and logged.
};

/// Head of a caller's request as it came.
struct request_head {
    std::string method;
    std::string target;
    http_fields fields; ///< All fields in order, names in lower case.
};

/// Head of a well-formed request.
struct validated_head {
    http_request request; ///< Without hop-by-hop, framing and Cornelpier fields; the body is still empty.
    service_id service;   ///< First label of the host.
    std::string host;
    std::optional<std::string> key;
    std::optional<duration> deadline;
    std::uint32_t depth = 0;
    bool outer_retry = false;
    std::optional<std::string> fate_token; ///< The request asks for the fate of another one.
    bool expects_continue = false;
};

/// Path below which callers ask for the fate of a request.
inline constexpr std::string_view fate_path = "/cornelpier/requests/";

/// Checks framing, path, Host and the fields of the project. It is stricter than the HTTP parser, because a
/// request that two parsers frame differently could run as another caller's.
/// @param names of the fields to read.
/// @param own_service of the VM on which the requests begin.
/// @return the head, or why the request is refused.
std::variant<validated_head, request_error> validate_request(request_head head, const wire_names& names = {},
                                                             const service_id& own_service = {});

} // namespace cornelpier
