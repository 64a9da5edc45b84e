#pragma once

#include "cornelpier/base/ids.hpp"
#include "cornelpier/plan/plan_document.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace cornelpier {

struct fleet_facts;

/// Number of targets of each service, from the document or else from what is known of the fleet.
class fleet_targets {
  public:
    fleet_targets(const plan_document& document, const fleet_facts& facts);

    /// @return the number of targets, or nothing if it is unknown.
    [[nodiscard]] std::optional<std::size_t> count(const service_id& service) const;

    /// @return the slots of a server of the service, or nothing if they are unknown.
    [[nodiscard]] std::optional<std::size_t> slots(const service_id& service) const;

    /// @return the number of targets of all services, or nothing if it is unknown for one of them. Each
    /// target has one entry.
    [[nodiscard]] std::optional<std::size_t> total() const { return m_total; }

  private:
    std::map<std::string, std::size_t> m_counts;
    std::map<std::string, std::size_t> m_slots;
    std::optional<std::size_t> m_total = 0;
};

} // namespace cornelpier
