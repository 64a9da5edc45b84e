#pragma once

#include "cornelpier/entry/entry_context.hpp"
#include "cornelpier/entry/link_set.hpp"
#include "cornelpier/entry/service_table.hpp"
#include "cornelpier/routing/reading_table.hpp"

namespace cornelpier {

/// Probes the targets of services with recent calls for load readings, within this entry's share of the
/// measuring budget. Owners enforce the budget themselves.
class probe_scheduler {
  public:
    probe_scheduler(entry_context& context, service_table& services, const reading_table& readings,
                    link_set& links);

    /// Records a call and starts probing if necessary.
    void on_call(const service_plan& service, service_state& state);

    /// @param entries number of nodes in the plan.
    /// @return interval between two probes of one target by this entry; zero if probing is off.
    /// @param evacuated number of the service's targets that are not probed because of an evacuation.
    static duration probe_period(const service_plan& service, std::size_t entries, std::size_t evacuated = 0);

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
