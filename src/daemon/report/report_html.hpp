#pragma once

#include "daemon/report/fleet_report.hpp"

#include <string>
#include <string_view>

namespace cornelpier {

/// @return the report as a self-contained HTML page of a few KB, without scripts, for 360 pixel wide screens.
/// Only nodes that need attention are listed individually.
std::string to_html(const fleet_report& report);

/// @return the text with reserved HTML characters replaced by entities.
std::string escape_html(std::string_view text);

} // namespace cornelpier
