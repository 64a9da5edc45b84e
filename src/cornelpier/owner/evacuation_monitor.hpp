#pragma once

#include "cornelpier/base/ids.hpp"
#include "cornelpier/fleet/fleet_view.hpp"
#include "cornelpier/owner/owner_outbox.hpp"

#include <cstddef>
#include <vector>

namespace cornelpier {

/// Logs which evacuations of data centres come into force at this node and end.
class evacuation_monitor {
  public:
    /// @param outbox must outlive the object.
    /// @param view fleet view in force; must outlive the object.
    evacuation_monitor(owner_outbox& outbox, const shared_fleet_view& view)
        : m_outbox(outbox), m_view(view) {}

    /// Logs the differences from the view that was in force before.
    void on_view();

    /// @return the number of data centres that are evacuated.
    [[nodiscard]] std::size_t count() const { return m_evacuated.size(); }

  private:
    void log(const std::vector<data_centre_id>& changed, bool in_force);

    owner_outbox& m_outbox;
    const shared_fleet_view& m_view;
    std::vector<data_centre_id> m_evacuated; ///< Sorted.
};

} // namespace cornelpier
