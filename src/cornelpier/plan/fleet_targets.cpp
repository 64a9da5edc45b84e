#include "cornelpier/plan/fleet_targets.hpp"

#include "cornelpier/plan/plan_check.hpp"

namespace cornelpier {

fleet_targets::fleet_targets(const plan_document& document, const fleet_facts& facts)
    : m_counts(facts.target_counts), m_slots(facts.slots) {
    for (const auto& service : document.content.services) {
        if (document.lists_targets) {
            m_counts.insert_or_assign(service.id.value(), service.targets.size());
            m_slots.insert_or_assign(service.id.value(), service.slots);
        }
        const auto known = count(service.id);
        m_total = m_total && known ? std::optional{*m_total + *known} : std::nullopt;
    }
}

std::optional<std::size_t> fleet_targets::count(const service_id& service) const {
    const auto it = m_counts.find(service.value());
    return it == m_counts.end() ? std::nullopt : std::optional{it->second};
}

std::optional<std::size_t> fleet_targets::slots(const service_id& service) const {
    const auto it = m_slots.find(service.value());
    return it == m_slots.end() ? std::nullopt : std::optional{it->second};
}

} // namespace cornelpier
