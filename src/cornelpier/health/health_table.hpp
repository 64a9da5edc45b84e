#pragma once

#include "cornelpier/base/ids.hpp"
#include "cornelpier/base/units.hpp"
#include "cornelpier/health/target_health.hpp"

#include <optional>
#include <span>
#include <unordered_map>

namespace cornelpier {

/// Health of all targets that an entry uses. At most a third of a subset is ejected at a time.
class health_table {
  public:
    /// Records the outcome of an attempt.
    /// @param subset targets from which the target was chosen.
    /// @return the new state if the outcome changed it.
    std::optional<health_state> on_outcome(const target_id& target, health_outcome outcome,
                                           std::span<const target_id> subset, time_point now);

    /// @return the health of a target after the transitions that are due by now.
    target_health& at(const target_id& target, time_point now);

  private:
    [[nodiscard]] bool may_eject(std::span<const target_id> subset) const;

    std::unordered_map<target_id, target_health> m_targets;
};

} // namespace cornelpier
