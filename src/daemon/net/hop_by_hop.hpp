#pragma once

#include "cornelpier/message/http_fields.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace cornelpier {

/// @return the elements of a comma-separated header value in lower case, without surrounding whitespace.
std::vector<std::string> list_elements(std::string_view value);

/// Removes hop-by-hop fields: Connection and the fields it lists, Keep-Alive, TE, Trailer, Transfer-Encoding,
/// Upgrade and Proxy-*.
/// @param fields names in lower case.
void remove_hop_by_hop(http_fields& fields);

/// Removes all fields with the given name.
void remove_field(http_fields& fields, std::string_view name);

} // namespace cornelpier
