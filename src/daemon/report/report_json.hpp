#pragma once

#include "daemon/report/fleet_report.hpp"

#include <string>

namespace cornelpier {

/// @return the report as a JSON object; ages in microseconds, each node with the source of its status.
std::string to_json(const fleet_report& report);

} // namespace cornelpier
