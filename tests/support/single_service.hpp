#pragma once

#include "tests/support/fleet.hpp"

#include <cstddef>

namespace cornelpier::testing {

/// Service of the fleets that `single_service_settings` describes.
extern const service_id single_service;

/// @param targets number of targets, spread over three data centres.
/// @param mean_service_time of the servers, which have 8 slots.
/// @return settings of a fleet with one service.
fleet_settings single_service_settings(std::size_t targets, duration mean_service_time);

} // namespace cornelpier::testing
