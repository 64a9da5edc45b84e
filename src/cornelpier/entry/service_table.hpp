#pragma once

#include "cornelpier/entry/entry_context.hpp"
#include "cornelpier/entry/service_state.hpp"
#include "cornelpier/routing/subset.hpp"

#include <functional>
#include <memory>
#include <unordered_map>

namespace cornelpier {

/// State of each service. Subsets are computed on first use after a plan change.
class service_table {
  public:
    explicit service_table(entry_context& context) : m_context(context) {}

    /// @param service of the plan in force.
    /// @return the state of the service with an up-to-date subset. The reference stays valid.
    service_state& at(const service_plan& service);

    /// @return the state of a service that was used before, or nullptr.
    service_state* find(const service_id& service);

    /// Invalidates all subsets.
    void on_plan_changed();

  private:
    struct service_record {
        std::unique_ptr<service_state> state;
        bool is_subset_current = false; ///< The subset was computed from the plan in force.
    };

    void compute_subset(const service_plan& service, service_state& state) const;

    entry_context& m_context;
    std::vector<subset_entry> m_subset_entries;
    std::unordered_map<service_id, service_record> m_services;
};

} // namespace cornelpier
