#pragma once

#include "cornelpier/base/ids.hpp"
#include "cornelpier/base/units.hpp"
#include "cornelpier/fleet/fleet_view.hpp"
#include "cornelpier/message/traffic_messages.hpp"

#include <string>
#include <unordered_map>

namespace cornelpier {

/// Servers that said in a response that they leave, for as long as the fleet view does not show it. An owner
/// that restarts forgets what its server said, and the view may be old.
class leaving_server_table {
  public:
    /// Processes a reading of an owner.
    /// @param instance server process at the target according to the plan in force; used if it leaves.
    void on_reading(const load_reading& load, const std::string& instance, time_point now);

    /// Drops the servers that the view shows as leaving, replaced or gone.
    void on_view(const fleet_view& view);

    /// @return whether the server of the target said that it leaves.
    [[nodiscard]] bool contains(const target_id& target, time_point now) const;

  private:
    struct record {
        std::string instance;
        time_point said_at;
    };

    std::unordered_map<target_id, record> m_servers;
};

} // namespace cornelpier
