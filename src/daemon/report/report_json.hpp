#pragma once

#include "daemon/report/fleet_report.hpp"

#include <string>

namespace cornelpier {

/// @return the report as one JSON object; ages in microseconds, every fact with its source.
std::string to_json(const fleet_report& report);

} // namespace cornelpier
