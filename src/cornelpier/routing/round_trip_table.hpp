#pragma once

#include "cornelpier/base/ids.hpp"
#include "cornelpier/base/units.hpp"

#include <unordered_map>

namespace cornelpier {

/// Smoothed round trips without the time spent at the owner, by target and by data centre.
class round_trip_table {
  public:
    /// @param own_data_centre data centre of the entry.
    explicit round_trip_table(data_centre_id own_data_centre);

    /// Notes a round trip of a message that the owner answers at once.
    void observe(const target_id& target, const data_centre_id& data_centre, duration measured);

    /// Notes the round trip of a run, reduced by its service time. It may still contain time in the
    /// owner's queue, so it counts only where it shows that the distance was taken for too long.
    void observe_upper_bound(const target_id& target, const data_centre_id& data_centre, duration bound);

    /// @return the expected round trip, from the target, else its data centre, else a default.
    [[nodiscard]] duration round_trip(const target_id& target, const data_centre_id& data_centre) const;

  private:
    data_centre_id m_own_data_centre;
    std::unordered_map<target_id, duration> m_targets;
    std::unordered_map<data_centre_id, duration> m_data_centres;
};

} // namespace cornelpier
