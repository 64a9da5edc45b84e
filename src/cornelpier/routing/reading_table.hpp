#pragma once

#include "cornelpier/base/ids.hpp"
#include "cornelpier/base/units.hpp"
#include "cornelpier/message/traffic_messages.hpp"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace cornelpier {

/// Load of one target as known to the entry.
struct target_load {
    std::optional<load_reading> last;
    time_point received_at; ///< Arrival of the last reading.
    std::optional<run_permit> permit;
    time_point permit_received_at;
    std::optional<rate> rate_limit;   ///< Of the server, as its owner knew it last.
    std::vector<time_point> own_runs; ///< Send times of the runs that have no answer yet.

    /// @return number of own runs without an answer that were sent after `since`.
    [[nodiscard]] std::uint32_t own_runs_since(time_point since) const;
};

/// Readings, permits and own runs in flight by target.
class reading_table {
  public:
    /// Stores a reading and its permit, unless the stored reading is a newer one of the same process.
    /// @param now arrival of the reading.
    /// @return false if the stored reading is newer.
    bool accept(const load_reading& load, time_point now);

    /// Stores a permit that arrived without a reading.
    void accept_permit(const target_id& target, const run_permit& permit, time_point now);

    /// @return the permit of the target; nothing if there is none or if its owner may no longer accept it.
    [[nodiscard]] std::optional<run_permit> usable_permit(const target_id& target, time_point now) const;

    /// Drops the permit of a target whose owner refused it.
    void drop_permit(const target_id& target);

    /// Records that a run was handed to a link.
    void run_sent(const target_id& target, time_point sent_at);

    /// Records that a run is no longer in flight.
    /// @param sent_at value that was passed to `run_sent`.
    void run_ended(const target_id& target, time_point sent_at);

    /// Drops the readings and permits of all targets; own runs in flight stay.
    void drop_readings();

    /// @return the load of the target; nullptr if nothing is known.
    [[nodiscard]] const target_load* find(const target_id& target) const;

  private:
    std::unordered_map<target_id, target_load> m_targets;
};

} // namespace cornelpier
