#pragma once

#include "cornelpier/base/ids.hpp"
#include "cornelpier/base/units.hpp"

#include <optional>
#include <unordered_map>

namespace cornelpier {

/// Smoothed round-trip times by target and by data centre, without the time spent at the owner.
class round_trip_table {
  public:
    /// @param own_data_centre data centre of the entry.
    explicit round_trip_table(data_centre_id own_data_centre);

    /// Records the round trip of a message that the owner answers at once.
    void observe(const target_id& target, const data_centre_id& data_centre, duration measured);

    /// Records the round trip of a run minus its service time. It may include queueing time at the owner, so
    /// it is used only if it is below the current estimate or if there is none for the target.
    void observe_upper_bound(const target_id& target, const data_centre_id& data_centre, duration bound);

    /// @return the expected round trip of the target, else that of its data centre, else a default.
    [[nodiscard]] duration round_trip(const target_id& target, const data_centre_id& data_centre) const;

    /// @return the shortest observed round trip to the data centre, which processing delays do not lengthen.
    /// Upper bounds do not count: they contain the difference of two nodes' measurements. Nothing before the
    /// first observation.
    [[nodiscard]] std::optional<duration> fastest(const data_centre_id& data_centre) const;

  private:
    void smooth_round_trip(const target_id& target, const data_centre_id& data_centre, duration sample);

    data_centre_id m_own_data_centre;
    std::unordered_map<target_id, duration> m_targets;
    std::unordered_map<data_centre_id, duration> m_data_centres;
    std::unordered_map<data_centre_id, duration> m_fastest;
};

} // namespace cornelpier
