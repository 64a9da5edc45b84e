#include "cornelpier/plan/entry_values.hpp"

#include <nlohmann/json.hpp>

#include <chrono>

namespace cornelpier {

namespace {

std::string time_text(duration length) {
    const auto us = std::chrono::duration_cast<std::chrono::microseconds>(length).count();
    constexpr int us_per_ms = 1000;
    return us % us_per_ms == 0 ? std::to_string(us / us_per_ms) + " ms" : std::to_string(us) + " us";
}

/// @return the shortest text that tells the number.
std::string number_text(double number) {
    return nlohmann::json(number).dump();
}

std::string services_text(const std::vector<weighted_service>& services) {
    if (services.size() == 1) {
        return services.front().service.value();
    }
    std::string text;
    for (const auto& it : services) {
        text += (text.empty() ? "" : " + ") + it.service.value() + ' ' + std::to_string(it.weight);
    }
    return text;
}

std::string statuses_text(const std::vector<int>& statuses) {
    std::string text;
    for (const int it : statuses) {
        text += (text.empty() ? "" : " ") + std::to_string(it);
    }
    return text.empty() ? "none" : text;
}

std::string priority_text(request_class priority) {
    return std::to_string(static_cast<int>(priority));
}

std::string yes_or_no(bool value) {
    return value ? "yes" : "no";
}

} // namespace

std::string match_of(const route& it) {
    return normalized_host(it.host) + it.path_prefix;
}

std::string warm_up_text(const std::optional<warm_up_plan>& warm_up) {
    return warm_up
               ? time_text(warm_up->length) + " at " + number_text(warm_up->limit.per_second) + " a second"
               : "none";
}

value_list values_of(const route& it) {
    return {{"service", services_text(it.weighted_services)},
            {"idempotent", yes_or_no(it.idempotent)},
            {"large_responses", yes_or_no(it.large_responses)},
            {"priority", priority_text(it.priority)},
            {"timeout", time_text(it.timeout)},
            {"objective", time_text(it.objective)},
            {"max_attempts", std::to_string(it.max_attempts)}};
}

value_list values_of(const service_plan& it) {
    return {{"deadline", time_text(it.deadline)},
            {"tail_weight", number_text(it.tail_weight)},
            {"measuring_per_second", number_text(it.measuring.per_second)},
            {"slots", std::to_string(it.slots)},
            {"key_memory", time_text(it.key_memory)},
            {"refusal_statuses", statuses_text(it.refusal_statuses)},
            {"warm_up", warm_up_text(it.warm_up)},
            {"report_path", it.report_path.empty() ? "default" : it.report_path}};
}

value_list values_of(const request_rule& it) {
    return {{"idempotent", yes_or_no(it.idempotent)}, {"priority", priority_text(it.priority)}};
}

value_list values_of(const target_plan& it) {
    return {{"vm", it.vm.value()},
            {"data_centre", it.data_centre.value()},
            {"node", it.node_address},
            {"operator", it.operator_address.value_or("none")}};
}

value_list values_of(const caller_limits& it) {
    return {{"max_header_bytes", std::to_string(it.max_header_bytes)},
            {"max_body_bytes", std::to_string(it.max_body_bytes)},
            {"header_timeout", time_text(it.header_timeout)},
            {"idle_timeout", time_text(it.idle_timeout)}};
}

} // namespace cornelpier
