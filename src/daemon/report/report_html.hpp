#pragma once

#include "daemon/report/fleet_report.hpp"

#include <string>
#include <string_view>

namespace cornelpier {

/// @return the report as one HTML page for a screen of 360 pixels: no scripts, no external files, a few KB.
/// Only nodes that need attention are listed one by one.
std::string to_html(const fleet_report& report);

/// @return the text with the characters that HTML reserves replaced by entities.
std::string escape_html(std::string_view text);

} // namespace cornelpier
