#pragma once

#include "cornelpier/base/ids.hpp"
#include "cornelpier/base/units.hpp"
#include "cornelpier/message/traffic_messages.hpp"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace cornelpier {

/// What the entry knows about the load of one target.
struct target_load {
    std::optional<load_reading> last;
    time_point received_at; ///< When the last reading came in.
    std::optional<run_permit> permit;
    time_point leave_received_at;
    std::vector<time_point> own_runs; ///< When each run without an answer was sent.

    /// @param since point in time.
    /// @return own runs without an answer that were sent after that.
    [[nodiscard]] std::uint32_t own_runs_since(time_point since) const;
};

/// Readings, permits and own runs in flight by target.
class reading_table {
  public:
    /// Stores a reading and its permit unless it is older than the stored one.
    /// @param now when it came in.
    /// @return false if the stored reading is newer.
    bool accept(const load_reading& load, time_point now);

    /// Stores a permit that came without a reading.
    void accept_permit(const target_id& target, const run_permit& permit, time_point now);

    /// @return the permit of the target, unless there is none or it is so old that the owner would refuse it.
    [[nodiscard]] std::optional<run_permit> usable_permit(const target_id& target, time_point now) const;

    /// Forgets the permit of a target that refused it.
    void drop_permit(const target_id& target);

    /// Notes a run handed to a link.
    void run_sent(const target_id& target, time_point sent_at);

    /// Notes that a run counts no more.
    /// @param sent_at as passed to `run_sent`.
    void run_ended(const target_id& target, time_point sent_at);

    /// Drops readings and permits of all targets; own runs stay.
    void drop_readings();

    /// @return the entry of the target, or nullptr.
    [[nodiscard]] const target_load* find(const target_id& target) const;

  private:
    std::unordered_map<target_id, target_load> m_targets;
};

} // namespace cornelpier
