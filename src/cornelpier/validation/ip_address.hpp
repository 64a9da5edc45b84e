#pragma once

#include <string_view>

namespace cornelpier {

/// @param text expected as `a.b.c.d:port` or `[v6]:port`, with a port between 1 and 65535.
/// @return true if the text is an IP address with a port; host names are not accepted.
bool is_ip_and_port(std::string_view text);

} // namespace cornelpier
