#include "cornelpier/plan/plan_parser.hpp"

#include "cornelpier/base/hash.hpp"
#include "cornelpier/plan/plan_schema.hpp"
#include "cornelpier/validation/ip_address.hpp"
#include "cornelpier/validation/json_validator.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <optional>
#include <string>
#include <unordered_set>
#include <utility>

namespace cornelpier {

namespace {

using nlohmann::json;

request_class parse_request_class(const std::string& name) {
    if (name == "urgent_lookup") {
        return request_class::urgent_lookup;
    }
    return name == "patient_lookup" ? request_class::patient_lookup : request_class::order;
}

request_rule parse_rule(const json& item) {
    return {item.at("method").get<std::string>(), item.at("path_prefix").get<std::string>(),
            item.at("idempotent").get<bool>(), parse_request_class(item.at("class").get<std::string>())};
}

target_plan parse_target(const json& item) {
    target_plan target{target_id{item.at("id").get<std::string>()}, vm_id{item.at("vm").get<std::string>()},
                       data_centre_id{item.at("data_centre").get<std::string>()},
                       item.at("node").get<std::string>()};
    if (item.contains("operator")) {
        target.operator_address = item.at("operator").get<std::string>();
    }
    return target;
}

std::optional<warm_up_plan> parse_warm_up(const json& item) {
    const warm_up_plan result{std::chrono::milliseconds{item.value("warm_up_ms", std::int64_t{0})},
                              rate{item.value("warm_up_rate_per_second", 0.0)}};
    return result.limit.per_second > 0 ? std::optional{result} : std::nullopt;
}

service_plan parse_service(const json& item) {
    service_plan service;
    service.id = service_id{item.at("id").get<std::string>()};
    service.slots = item.at("slots").get<std::uint32_t>();
    service.tail_weight = item.value("tail_weight", service.tail_weight);
    service.measuring.per_second = item.value("measuring_per_second", service.measuring.per_second);
    service.refusal_statuses = item.value("refusal_statuses", service.refusal_statuses);
    if (item.contains("deadline_ms")) {
        service.deadline = std::chrono::milliseconds{item.at("deadline_ms").get<std::int64_t>()};
    }
    service.warm_up = parse_warm_up(item);
    if (item.contains("key_memory_s")) {
        service.key_memory = std::chrono::seconds{item.at("key_memory_s").get<std::int64_t>()};
    }

    for (const auto& it : item.value("rules", json::array())) {
        service.rules.push_back(parse_rule(it));
    }
    service.targets.reserve(item.at("targets").size());
    for (const auto& it : item.at("targets")) {
        service.targets.push_back(parse_target(it));
    }
    return service;
}

std::vector<data_centre_id> parse_evacuated(const json& document) {
    std::vector<data_centre_id> result;
    for (const auto& it : document.value("evacuated_data_centres", json::array())) {
        result.emplace_back(it.get<std::string>());
    }
    std::ranges::sort(result);
    result.erase(std::unique(result.begin(), result.end()), result.end());
    return result;
}

plan parse_plan_document(const json& document, std::string_view sheet) {
    plan result;
    result.version = document.at("version").get<std::uint64_t>();
    result.deployment = document.at("deployment").get<std::string>();
    for (const auto& it : document.at("services")) {
        result.services.push_back(parse_service(it));
    }
    result.evacuated_data_centres = parse_evacuated(document);
    result.sheet = sheet;
    result.content_hash = stable_hash(sheet);
    return result;
}

/// Checks constraints that JSON Schema cannot express, such as uniqueness across services.
class plan_validator {
  public:
    std::vector<error> check(const plan& checked) {
        for (std::size_t n = 0; n < checked.services.size(); ++n) {
            check_service(checked.services[n], "/services/" + std::to_string(n));
        }
        check_evacuated(checked);
        return std::move(m_errors);
    }

  private:
    void check_service(const service_plan& service, const std::string& place) {
        if (!m_services.insert(service.id).second) {
            add_error(place + "/id", "this service is listed twice");
        }
        for (std::size_t n = 0; n < service.rules.size(); ++n) {
            if (!service.rules[n].path_prefix.starts_with('/')) {
                add_error(place + "/rules/" + std::to_string(n) + "/path_prefix", "must start with /");
            }
        }
        for (std::size_t n = 0; n < service.targets.size(); ++n) {
            check_target(service.targets[n], place + "/targets/" + std::to_string(n));
        }
    }

    void check_target(const target_plan& target, const std::string& place) {
        m_data_centres.insert(target.data_centre);
        if (!m_targets.insert(target.id).second) {
            add_error(place + "/id", "this target is listed twice; a target belongs to one service");
        }
        if (!is_ip_and_port(target.node_address)) {
            add_error(place + "/node", "expected IP:port");
        } else if (!m_addresses.insert(target.node_address).second) {
            add_error(place + "/node", "another target has this address");
        }
        if (target.operator_address && !is_ip_and_port(*target.operator_address)) {
            add_error(place + "/operator", "expected IP:port");
        }
    }

    /// A misspelt name would leave the data centre in use without notice.
    void check_evacuated(const plan& checked) {
        for (const auto& it : checked.evacuated_data_centres) {
            if (!m_data_centres.contains(it)) {
                add_error("/evacuated_data_centres", "no target is in data centre " + it.value());
            }
        }
    }

    void add_error(std::string place, std::string reason) {
        m_errors.push_back({std::move(place), std::move(reason)});
    }

    std::vector<error> m_errors;
    std::unordered_set<service_id> m_services;
    std::unordered_set<target_id> m_targets;
    std::unordered_set<data_centre_id> m_data_centres;
    std::unordered_set<std::string> m_addresses;
};

} // namespace

checked_result<plan> parse_plan(std::string_view sheet) {
    const auto parsed = parse_json(sheet);
    if (const auto* problem = std::get_if<error>(&parsed)) {
        return std::vector{*problem};
    }

    const auto& document = std::get<json>(parsed);
    auto errors = validate_json(document, plan_schema());
    if (!errors.empty()) {
        return errors;
    }

    plan result = parse_plan_document(document, sheet);
    errors = plan_validator{}.check(result);
    if (!errors.empty()) {
        return errors;
    }
    return result;
}

} // namespace cornelpier
