#pragma once

#include "cornelpier/plan/fleet_targets.hpp"
#include "cornelpier/plan/plan_document.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace cornelpier {

/// Checks the routes of a plan: those that never match, unknown services and contradictions.
class route_check {
  public:
    /// The arguments must outlive the object.
    /// @param retry_budget of the fleet; unset: unknown.
    route_check(const plan_document& document, const fleet_targets& targets,
                const std::optional<fleet_retry_budget>& retry_budget);

    /// @return the findings, in the order of the routes. Call once.
    std::vector<plan_finding> run();

  private:
    void check_host(const route& checked, const std::string& place);
    void check_prefix(const route& checked, const std::string& place);
    void check_precedence(std::size_t n, const std::string& place);
    void check_services(const route& checked, const std::string& place);
    void check_times(const route& checked, const std::string& place);
    void check_attempts(const route& checked, const std::string& place);
    void add(finding_kind kind, std::string place, std::string text);

    const plan_document& m_document;
    const fleet_targets& m_targets;
    const std::optional<fleet_retry_budget>& m_retry_budget;
    route_table m_table; ///< Its routes are named by their position in the document.
    std::vector<std::string> m_service_names;
    std::vector<plan_finding> m_findings;
};

} // namespace cornelpier
