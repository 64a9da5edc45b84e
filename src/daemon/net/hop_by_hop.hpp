#pragma once

#include "cornelpier/message/http_fields.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace cornelpier {

/// @return the elements of a comma-separated header value in lower case, without blanks around them.
std::vector<std::string> list_elements(std::string_view value);

/// Removes the fields that concern one connection only: Connection and what it names, Keep-Alive, TE,
/// Trailer, Transfer-Encoding, Upgrade, Proxy-*.
/// @param fields names in lower case.
void remove_hop_by_hop(http_fields& fields);

/// Removes every field of the name.
void remove_field(http_fields& fields, std::string_view name);

} // namespace cornelpier
