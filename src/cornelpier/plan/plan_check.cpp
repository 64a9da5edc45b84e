#include "cornelpier/plan/plan_check.hpp"

#include "cornelpier/plan/route_check.hpp"
#include "cornelpier/plan/service_check.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace cornelpier {

namespace {

void append(std::vector<plan_finding>& findings, std::vector<plan_finding> added) {
    std::ranges::move(added, std::back_inserter(findings));
}

/// Requests are held in memory as a whole, so that a larger limit permits a single one to fill the node.
std::vector<plan_finding> check_limits(const plan& content, std::size_t node_memory_bytes) {
    if (!content.limits || content.limits->max_body_bytes <= node_memory_bytes) {
        return {};
    }
    return {{finding_kind::body_above_memory, "/limits/max_body_bytes",
             "a body may have " + std::to_string(content.limits->max_body_bytes) + " bytes, but a node has " +
                 std::to_string(node_memory_bytes) + " bytes of memory"}};
}

} // namespace

std::vector<plan_finding> plan_check::run(const plan_document& document) const {
    std::vector<plan_finding> findings = document.findings;
    const fleet_targets targets(document, m_facts);
    if (document.is_routed) {
        append(findings, route_check(document, targets, m_facts.retry_budget).run());
    }
    append(findings, service_check(document, targets).run());
    append(findings, check_limits(document.content, m_facts.node_memory_bytes));
    return findings;
}

} // namespace cornelpier
