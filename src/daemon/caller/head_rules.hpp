#pragma once

#include "cornelpier/fleet/fleet_view.hpp"
#include "cornelpier/node/traffic_actions.hpp"

#include "daemon/caller/request_validation.hpp"

#include <cstddef>
#include <optional>
#include <string_view>

namespace cornelpier {

/// Largest number of header fields of a request. Parsed fields need many times the bytes of very short ones.
inline constexpr std::size_t max_header_fields = 256;

/// @param head text of a head up to and including the empty line.
/// @return the number of its header fields.
std::size_t count_fields(std::string_view head);

/// @return an estimate of the memory that the parsed head needs until its request is answered.
std::size_t parsed_head_bytes(std::size_t head_size, std::size_t fields);

/// Determines the response that a request gets whatever its body is. Requests with a key are left to the
/// decision core, which knows whether an earlier one may have run.
/// @param view null: no plan is known yet.
/// @return the response, or nothing if the request has to be read completely.
std::optional<answer_caller> refuse_from_head(const validated_head& head, const shared_fleet_view& view);

} // namespace cornelpier
