#include "tests/support/single_service.hpp"

#include "tests/support/plan_sheet.hpp"

namespace cornelpier::testing {

const service_id single_service{"bins"};

fleet_settings single_service_settings(std::size_t targets, duration mean_service_time) {
    service_plan service;
    service.id = single_service;
    service.deadline = std::chrono::seconds{2};
    service.slots = 8;
    service.measuring = rate{20};
    service.rules = default_rules();
    for (std::size_t n = 0; n < targets; ++n) {
        service.targets.push_back(make_target("t" + std::to_string(n), "dc" + std::to_string(n % 3), n));
    }
    plan sheet;
    sheet.version = 1;
    sheet.services = {service};

    fleet_settings result;
    result.initial_plan = finalize_plan(std::move(sheet));
    result.default_server = {service.slots, mean_service_time, true};
    return result;
}

} // namespace cornelpier::testing
