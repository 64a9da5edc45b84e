#include "cornelpier/health/health_table.hpp"

#include <algorithm>

namespace cornelpier {

std::optional<health_state> health_table::on_outcome(const target_id& target, health_outcome outcome,
                                                     std::span<const target_id> subset, time_point now) {
    auto& health = at(target, now);
    const health_state before = health.state();
    health.on_outcome(outcome, may_eject(subset), now);
    const health_state after = health.state();
    return before == after ? std::nullopt : std::optional{after};
}

target_health& health_table::at(const target_id& target, time_point now) {
    auto& health = m_targets[target];
    health.update(now);
    return health;
}

bool health_table::may_eject(std::span<const target_id> subset) const {
    const auto ejected = std::ranges::count_if(subset, [this](const target_id& it) {
        const auto found = m_targets.find(it);
        return found != m_targets.end() && found->second.state() != health_state::healthy;
    });
    return (static_cast<std::size_t>(ejected) + 1) * 3 <= subset.size();
}

} // namespace cornelpier
