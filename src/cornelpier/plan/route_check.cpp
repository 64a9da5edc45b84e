#include "cornelpier/plan/route_check.hpp"

#include "cornelpier/validation/nearest_word.hpp"
#include "cornelpier/validation/request_syntax.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace cornelpier {

namespace {

route_table make_numbered_table(std::vector<route> routes) {
    for (std::size_t n = 0; n < routes.size(); ++n) {
        routes[n].name = std::to_string(n);
    }
    return route_table{std::move(routes)};
}

/// @return whether all labels of a host have characters that callers can send.
bool is_possible_host(std::string_view host) {
    while (true) {
        const auto dot = host.find('.');
        if (!is_host_label(host.substr(0, dot))) {
            return false;
        }
        if (dot == std::string_view::npos) {
            return true;
        }
        host.remove_prefix(dot + 1);
    }
}

std::string milliseconds(duration length) {
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(length).count()) + " ms";
}

} // namespace

route_check::route_check(const plan_document& document, const fleet_targets& targets,
                         const std::optional<fleet_retry_budget>& retry_budget)
    : m_document(document), m_targets(targets), m_retry_budget(retry_budget),
      m_table(make_numbered_table(document.routes)) {
    std::ranges::transform(document.content.services, std::back_inserter(m_service_names),
                           [](const service_plan& it) { return it.id.value(); });
}

std::vector<plan_finding> route_check::run() {
    for (std::size_t n = 0; n < m_document.routes.size(); ++n) {
        const route& checked = m_document.routes[n];
        const std::string& place = m_document.route_places[n];
        check_host(checked, place);
        check_prefix(checked, place);
        check_precedence(n, place);
        check_services(checked, place);
        check_times(checked, place);
        check_attempts(checked, place);
    }
    return std::move(m_findings);
}

void route_check::check_host(const route& checked, const std::string& place) {
    if (!is_possible_host(normalized_host(checked.host))) {
        add(finding_kind::impossible_host, place + "/host",
            "no request has the host \"" + checked.host +
                "\": labels consist of letters, digits, - and _; there are no wildcards");
    }
}

void route_check::check_prefix(const route& checked, const std::string& place) {
    // Routes are matched without the query.
    const bool is_possible =
        is_target_prefix(checked.path_prefix) && checked.path_prefix.find('?') == std::string::npos;
    if (!is_possible) {
        add(finding_kind::impossible_prefix, place + "/path_prefix",
            "no path begins with \"" + checked.path_prefix + "\"");
    }
}

void route_check::check_precedence(std::size_t n, const std::string& place) {
    const route& checked = m_document.routes[n];
    const route* chosen = m_table.find(checked.host, checked.path_prefix);
    if (chosen == nullptr || chosen->name == std::to_string(n) ||
        chosen->path_prefix != checked.path_prefix) {
        return;
    }
    add(finding_kind::shadowed_route, place,
        "never matches: " + m_document.route_places[std::stoul(chosen->name)] +
            " has the same host and path prefix");
}

void route_check::check_services(const route& checked, const std::string& place) {
    if (!has_positive_weight(checked.weighted_services)) {
        add(finding_kind::zero_weights, place + "/service", "none of its services has a weight above 0");
    }
    // Services that were left out as invalid are not unknown.
    if (m_document.is_partial() && m_service_names.empty()) {
        return;
    }
    for (const auto& it : checked.weighted_services) {
        if (m_document.content.find_service(it.service) != nullptr) {
            continue;
        }
        const std::string nearest = nearest_word(it.service.value(), m_service_names);
        add(finding_kind::unknown_service, place + "/service",
            "there is no service \"" + it.service.value() + '"' +
                (nearest.empty() ? "" : "; the nearest known one is " + nearest));
    }
}

void route_check::check_times(const route& checked, const std::string& place) {
    if (checked.objective > checked.timeout) {
        add(finding_kind::objective_above_timeout, place + "/objective",
            "the objective of " + milliseconds(checked.objective) + " is above the timeout of " +
                milliseconds(checked.timeout));
    }
}

void route_check::check_attempts(const route& checked, const std::string& place) {
    const std::string attempts = std::to_string(checked.max_attempts) + " attempts, but ";
    for (const auto& it : checked.weighted_services) {
        const auto known = m_targets.count(it.service);
        if (it.weight > 0 && known && *known > 0 && checked.max_attempts > *known) {
            add(finding_kind::attempts_above_targets, place + "/max_attempts",
                attempts + "service " + it.service.value() + " has " + std::to_string(*known) +
                    (*known == 1 ? " target" : " targets"));
        }
    }
    if (!m_retry_budget) {
        return;
    }
    const double repeats = std::floor(m_retry_budget->capacity_per_entry(m_targets.total().value_or(1)));
    if (checked.max_attempts - 1 > repeats) {
        add(finding_kind::attempts_above_budget, place + "/max_attempts",
            attempts + "the retry budget lets an entry repeat at most " +
                std::to_string(static_cast<std::uint64_t>(repeats)) + " at once");
    }
}

void route_check::add(finding_kind kind, std::string place, std::string text) {
    m_findings.push_back({kind, std::move(place), std::move(text)});
}

} // namespace cornelpier
