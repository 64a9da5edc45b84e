#pragma once

#include "cornelpier/entry/entry_context.hpp"
#include "cornelpier/entry/link_set.hpp"
#include "cornelpier/entry/service_table.hpp"
#include "cornelpier/routing/reading_table.hpp"

namespace cornelpier {

/// Asks the targets of services that are in use for readings, within this entry's share of the measuring
/// budget. The owner enforces the budget itself.
class probe_scheduler {
  public:
    probe_scheduler(entry_context& context, service_table& services, const reading_table& readings,
                    link_set& links);

    /// Notes a call of the service.
    void on_call(const service_plan& service, service_state& state);

    /// @param entries number of nodes in the plan.
    /// @return time between two probes of a target by this entry; zero if none may be sent.
    static duration probe_period(const service_plan& service, std::size_t entries);

  private:
    void schedule(const service_id& service, service_state& state, duration period);
    void on_due(const service_id& service);
    void probe_subset(const service_state& state, duration period);
    [[nodiscard]] duration period_of(const service_plan& service) const;

    entry_context& m_context;
    service_table& m_services;
    const reading_table& m_readings;
    link_set& m_links;
};

} // namespace cornelpier
