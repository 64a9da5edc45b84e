#include "cornelpier/plan/plan.hpp"

#include <algorithm>

namespace cornelpier {

const request_rule* service_plan::match(std::string_view method, std::string_view path) const {
    const auto it = std::ranges::find_if(rules, [&](const request_rule& rule) {
        return (rule.method == "*" || rule.method == method) && path.starts_with(rule.path_prefix);
    });
    return it == rules.end() ? nullptr : &*it;
}

bool plan::is_idempotent(const service_plan& service, const http_request& request) const {
    if (routes == nullptr) {
        const request_rule* rule = service.match(request.method, request.path);
        return rule != nullptr && rule->idempotent;
    }
    const std::string* host = find_field(request.fields, "host");
    if (host == nullptr) {
        return false;
    }
    const route* found = routes->find(*host, request.path);
    return found != nullptr && found->idempotent;
}

const service_plan* plan::find_service(const service_id& id) const {
    const auto it = std::ranges::find(services, id, &service_plan::id);
    return it == services.end() ? nullptr : &*it;
}

const service_plan* plan::service_of(const target_id& id) const {
    const auto it = std::ranges::find_if(services, [&](const service_plan& service) {
        return std::ranges::find(service.targets, id, &target_plan::id) != service.targets.end();
    });
    return it == services.end() ? nullptr : &*it;
}

const target_plan* plan::find_target(const target_id& id) const {
    for (const auto& service : services) {
        const auto it = std::ranges::find(service.targets, id, &target_plan::id);
        if (it != service.targets.end()) {
            return &*it;
        }
    }
    return nullptr;
}

bool plan::is_evacuated(const data_centre_id& data_centre) const {
    return std::ranges::binary_search(evacuated_data_centres, data_centre);
}

} // namespace cornelpier
