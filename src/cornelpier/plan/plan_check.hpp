#pragma once

#include "cornelpier/plan/plan_document.hpp"
#include "cornelpier/plan/plan_finding.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cornelpier {

/// What is known of the fleet that a plan is meant for.
struct fleet_facts {
    /// Memory of a node. Default: `memory_limit_mb` of the settings where it is not set.
    std::size_t node_memory_bytes = std::size_t{256} * 1024 * 1024;
    /// Number of targets by service, for documents that do not list them.
    std::map<std::string, std::size_t> target_counts;
    /// Slots of a server by service, for documents that do not list targets.
    std::map<std::string, std::size_t> slots;
    /// Budget of the fleet; unset: unknown.
    std::optional<fleet_retry_budget> retry_budget;
};

/// Finds errors, entries without effect and contradictions in a plan of any format. It uses the functions by
/// which nodes choose routes and rules.
class plan_check {
  public:
    explicit plan_check(fleet_facts facts = {}) : m_facts(std::move(facts)) {}

    /// @return the findings of the decoder, followed by those of the check.
    [[nodiscard]] std::vector<plan_finding> run(const plan_document& document) const;

  private:
    fleet_facts m_facts;
};

} // namespace cornelpier
