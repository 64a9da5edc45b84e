#include "bench/deployment.hpp"

#include "tests/support/plan_sheet.hpp"

#include <chrono>

namespace cornelpier::testing {

using namespace std::chrono_literals;

namespace {

service_plan make_service(const std::string& id, const std::string& data_centre, std::size_t targets,
                          std::uint32_t slots, std::size_t first_number) {
    service_plan result;
    result.id = service_id{id};
    result.tail_weight = 0.9;
    result.measuring = rate{20};
    result.slots = slots;
    result.refusal_statuses = {503};
    result.rules = default_rules();
    for (std::size_t n = 0; n < targets; ++n) {
        result.targets.push_back(make_target(id + "-" + std::to_string(n + 1),
                                             data_centre + "-" + std::to_string(1 + n % 3),
                                             first_number + n));
    }
    return result;
}

deployment make_deployment(const std::string& name, duration between_data_centres,
                           const service_plan& measured, const service_plan& other) {
    deployment result;
    result.name = name;
    result.current_plan = finalize_plan({1, name, {measured, other}, {}, 0});
    result.service = measured.id;
    result.server = {measured.slots, 20ms, true};
    result.network = {100us, between_data_centres, 3ms};
    return result;
}

} // namespace

const std::vector<target_plan>& deployment::targets() const {
    return current_plan->find_service(service)->targets;
}

std::vector<target_plan> deployment::entries() const {
    std::vector<target_plan> result;
    for (const auto& it : current_plan->services) {
        result.insert(result.end(), it.targets.begin(), it.targets.end());
    }
    return result;
}

std::vector<deployment> deployments() {
    return {make_deployment("ro-centru", 1ms, make_service("comenzi", "brasov", 5, 10, 0),
                            make_service("atelier", "brasov", 5, 10, 5)),
            make_deployment("ie-east", 1500us, make_service("bins", "east", 4, 12, 0),
                            make_service("catalogue", "east", 6, 12, 4))};
}

} // namespace cornelpier::testing
