#include "cornelpier/entry/service_table.hpp"

#include "cornelpier/routing/least_estimate_policy.hpp"

#include <algorithm>

namespace cornelpier {

service_state& service_table::at(const service_plan& service) {
    auto& record = m_services[service.id];
    if (record.state == nullptr) {
        const auto& make = m_context.options.make_policy;
        record.state =
            std::make_unique<service_state>(make ? make() : any_balancing_policy{least_estimate_policy{}});
    }
    if (!record.is_subset_current) {
        compute_subset(service, *record.state);
        record.is_subset_current = true;
    }
    return *record.state;
}

service_state* service_table::find(const service_id& service) {
    const auto it = m_services.find(service);
    return it == m_services.end() ? nullptr : it->second.state.get();
}

void service_table::on_plan_changed() {
    m_subset_entries = subset_entries(*m_context.view->current_plan);
    for (auto& [id, it] : m_services) {
        it.is_subset_current = false;
    }
}

void service_table::compute_subset(const service_plan& service, service_state& state) const {
    state.subset.clear();
    state.data_centres.clear();
    state.addresses.clear();
    const auto& current_plan = *m_context.view->current_plan;
    state.has_lookups =
        current_plan.routes != nullptr || std::ranges::any_of(service.rules, &request_rule::idempotent);
    state.hedges_use_retry_budget = current_plan.retry_budget.has_value();
    if (current_plan.retry_budget) {
        state.retries.configure(current_plan.retry_budget->ratio,
                                current_plan.retry_budget->capacity_per_entry(m_subset_entries.size()));
    }
    const auto& identity = m_context.identity;
    for (const auto i : choose_subset(service, m_subset_entries, identity.self, identity.data_centre,
                                      current_plan.evacuated_data_centres)) {
        state.subset.push_back(service.targets[i].id);
        state.data_centres.push_back(service.targets[i].data_centre);
        state.addresses.push_back(service.targets[i].node_address);
    }
}

} // namespace cornelpier
