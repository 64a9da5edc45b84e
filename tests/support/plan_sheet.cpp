#include "tests/support/plan_sheet.hpp"

#include "cornelpier/base/hash.hpp"

#include <nlohmann/json.hpp>

#include <array>

namespace cornelpier::testing {

namespace {

constexpr std::array class_names{"order", "urgent_lookup", "patient_lookup"};
constexpr std::size_t first_node_port = 7101;

nlohmann::json to_json(const request_rule& rule) {
    return {{"method", rule.method},
            {"path_prefix", rule.path_prefix},
            {"idempotent", rule.idempotent},
            {"class", class_names.at(static_cast<std::size_t>(rule.priority))}};
}

nlohmann::json to_json(const target_plan& target) {
    return {{"id", target.id.value()},
            {"vm", target.vm.value()},
            {"data_centre", target.data_centre.value()},
            {"node", target.node_address}};
}

nlohmann::json to_json(const service_plan& service) {
    nlohmann::json result{{"id", service.id.value()},
                          {"deadline_ms", service.deadline.count() / 1000},
                          {"tail_weight", service.tail_weight},
                          {"measuring_per_second", service.measuring.per_second},
                          {"slots", service.slots},
                          {"key_memory_s", service.key_memory.count() / 1'000'000},
                          {"refusal_statuses", service.refusal_statuses},
                          {"rules", nlohmann::json::array()},
                          {"targets", nlohmann::json::array()}};
    if (service.warm_up) {
        result["warm_up_ms"] = service.warm_up->length.count() / 1000;
        result["warm_up_rate_per_second"] = service.warm_up->limit.per_second;
    }
    for (const auto& rule : service.rules) {
        result["rules"].push_back(to_json(rule));
    }
    for (const auto& target : service.targets) {
        result["targets"].push_back(to_json(target));
    }
    return result;
}

} // namespace

std::string to_sheet(const plan& value) {
    nlohmann::json result{
        {"version", value.version}, {"deployment", value.deployment}, {"services", nlohmann::json::array()}};
    for (const auto& service : value.services) {
        result["services"].push_back(to_json(service));
    }
    return result.dump();
}

std::shared_ptr<const plan> finalize_plan(plan value) {
    value.sheet = to_sheet(value);
    value.content_hash = stable_hash(value.sheet);
    return std::make_shared<const plan>(std::move(value));
}

target_plan make_target(const std::string& id, const std::string& data_centre, std::size_t number) {
    return {target_id{id}, vm_id{"vm-" + id}, data_centre_id{data_centre},
            "127.0.0.1:" + std::to_string(first_node_port + number)};
}

std::vector<request_rule> default_rules() {
    return {{"POST", "/", false, request_class::order}, {"*", "/", true, request_class::urgent_lookup}};
}

} // namespace cornelpier::testing
