#include "cornelpier/plan/service_check.hpp"

#include "cornelpier/validation/field_syntax.hpp"
#include "cornelpier/validation/nearest_word.hpp"
#include "cornelpier/validation/request_syntax.hpp"

#include <algorithm>
#include <utility>

namespace cornelpier {

namespace {

constexpr std::string_view any_method = "*";

const std::vector<std::string>& known_methods() {
    static const std::vector<std::string> methods{"GET",     "HEAD",  "POST",  "PUT",    "DELETE",
                                                  "OPTIONS", "PATCH", "TRACE", "CONNECT"};
    return methods;
}

bool names_service(const route& candidate, const service_id& service) {
    return std::ranges::any_of(candidate.weighted_services,
                               [&](const weighted_service& it) { return it.service == service; });
}

/// @return a method that no rule names, so that only rules for any method match it.
std::string unnamed_method(const std::vector<request_rule>& rules) {
    std::string method = "X";
    while (std::ranges::find(rules, method, &request_rule::method) != rules.end()) {
        method += 'X';
    }
    return method;
}

} // namespace

std::vector<plan_finding> service_check::run() {
    for (std::size_t n = 0; n < m_document.content.services.size(); ++n) {
        const service_plan& service = m_document.content.services[n];
        const std::string& place = m_document.service_places[n];
        check_name(service, place);
        check_use(service, place);
        check_targets(service, place);
        check_evacuation(service, place);
        check_warm_up(service, place);
        check_rules(service, place);
    }
    return std::move(m_findings);
}

void service_check::check_name(const service_plan& service, const std::string& place) {
    if (!m_document.is_routed && !is_host_label(service.id.value())) {
        add(finding_kind::impossible_host, place + "/id",
            "no request has a host whose first label is \"" + service.id.value() +
                "\": it consists of lower-case letters, digits, - and _");
    }
}

void service_check::check_use(const service_plan& service, const std::string& place) {
    // Routes that were left out as invalid may name it.
    if (!m_document.is_routed || m_document.is_partial()) {
        return;
    }
    const bool is_used = std::ranges::any_of(m_document.routes,
                                             [&](const route& it) { return names_service(it, service.id); });
    if (!is_used) {
        add(finding_kind::unused_service, place, "no route names service " + service.id.value());
    }
}

void service_check::check_targets(const service_plan& service, const std::string& place) {
    if (m_targets.count(service.id) == std::size_t{0}) {
        add(finding_kind::service_without_target, place, "service " + service.id.value() + " has no target");
    }
}

void service_check::check_evacuation(const service_plan& service, const std::string& place) {
    const bool is_evacuated =
        !service.targets.empty() && std::ranges::all_of(service.targets, [&](const target_plan& it) {
            return m_document.content.is_evacuated(it.data_centre);
        });
    if (is_evacuated) {
        add(finding_kind::evacuated_service, place,
            "all targets of service " + service.id.value() + " are in evacuated data centres");
    }
}

void service_check::check_warm_up(const service_plan& service, const std::string& place) {
    const auto slots = m_targets.slots(service.id);
    const double seconds = to_seconds(shortest_time(service));
    if (!service.warm_up || !slots || seconds <= 0) {
        return;
    }
    const auto possible = static_cast<std::uint64_t>(static_cast<double>(*slots) / seconds);
    if (service.warm_up->limit.per_second > static_cast<double>(*slots) / seconds) {
        add(finding_kind::warm_up_above_slots, place,
            "the warm-up rate is above what " + std::to_string(*slots) +
                " slots can run: " + std::to_string(possible) + " requests a second if each takes " +
                milliseconds_text(shortest_time(service)) + " ms");
    }
}

duration service_check::shortest_time(const service_plan& service) const {
    if (!m_document.is_routed) {
        return service.deadline;
    }
    duration shortest{};
    for (const auto& it : m_document.routes) {
        if (names_service(it, service.id)) {
            shortest = shortest == duration::zero() ? it.objective : std::min(shortest, it.objective);
        }
    }
    return shortest;
}

void service_check::check_rules(const service_plan& service, const std::string& place) {
    for (std::size_t n = 0; n < service.rules.size(); ++n) {
        const std::string rule_place = place + "/rules/" + std::to_string(n);
        check_method(service.rules[n], rule_place);
        check_prefix(service.rules[n], rule_place);
        check_precedence(service, service.rules[n], rule_place);
    }
}

void service_check::check_method(const request_rule& rule, const std::string& place) {
    if (rule.method == any_method) {
        return;
    }
    if (!is_token(rule.method)) {
        add(finding_kind::impossible_method, place + "/method",
            "no request has the method \"" + rule.method + '"');
        return;
    }
    if (std::ranges::find(known_methods(), rule.method) == known_methods().end()) {
        add(finding_kind::unknown_method, place + "/method",
            "unknown method \"" + rule.method + "\", compared with case; the nearest known one is " +
                nearest_word(rule.method, known_methods()));
    }
}

void service_check::check_prefix(const request_rule& rule, const std::string& place) {
    if (!is_target_prefix(rule.path_prefix)) {
        add(finding_kind::impossible_prefix, place + "/path_prefix",
            "no path begins with \"" + rule.path_prefix + '"');
    }
}

void service_check::check_precedence(const service_plan& service, const request_rule& rule,
                                     const std::string& place) {
    const std::string method = rule.method == any_method ? unnamed_method(service.rules) : rule.method;
    const request_rule* first = service.match(method, rule.path_prefix);
    if (first == nullptr || first == &rule) {
        return;
    }
    add(finding_kind::unreachable_rule, place,
        "never matches: the rule for " + first->method + ' ' + first->path_prefix + " at position " +
            std::to_string(first - service.rules.data()) + " matches everything that it does");
}

void service_check::add(finding_kind kind, std::string place, std::string text) {
    m_findings.push_back({kind, std::move(place), std::move(text)});
}

} // namespace cornelpier
