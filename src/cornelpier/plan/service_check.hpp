#pragma once

#include "cornelpier/plan/fleet_targets.hpp"
#include "cornelpier/plan/plan_document.hpp"

#include <string>
#include <vector>

namespace cornelpier {

/// Checks the services of a plan and their rules: those that no request reaches.
class service_check {
  public:
    /// The arguments must outlive the object.
    service_check(const plan_document& document, const fleet_targets& targets)
        : m_document(document), m_targets(targets) {}

    /// @return the findings, in the order of the services. Call once.
    std::vector<plan_finding> run();

  private:
    void check_name(const service_plan& service, const std::string& place);
    void check_use(const service_plan& service, const std::string& place);
    void check_targets(const service_plan& service, const std::string& place);
    void check_evacuation(const service_plan& service, const std::string& place);
    void check_warm_up(const service_plan& service, const std::string& place);
    /// @return the time in which the service's fastest requests should end.
    [[nodiscard]] duration shortest_time(const service_plan& service) const;
    void check_rules(const service_plan& service, const std::string& place);
    void check_method(const request_rule& rule, const std::string& place);
    void check_prefix(const request_rule& rule, const std::string& place);
    void check_precedence(const service_plan& service, const request_rule& rule, const std::string& place);
    void add(finding_kind kind, std::string place, std::string text);

    const plan_document& m_document;
    const fleet_targets& m_targets;
    std::vector<plan_finding> m_findings;
};

} // namespace cornelpier
