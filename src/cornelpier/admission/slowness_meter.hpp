#pragma once

#include "cornelpier/base/units.hpp"

#include <limits>

namespace cornelpier {

/// Mean rest of a spell of slowness that was noticed just now; spells last about half a second.
inline constexpr duration mean_slowdown_remaining = std::chrono::milliseconds{300};

/// How much slower than usual a server is, as it told with its last answer. Answers the load of
/// neighbours on its machine, which slow it several times over for some hundred milliseconds: a run takes as
/// long as the speed at its start says, so that waiting for the end of the spell is often faster than to
/// start.
class slowness_meter {
  public:
    /// A figure of this age says how a run that starts now will fare.
    static constexpr duration max_fresh_age = std::chrono::milliseconds{20};

    /// Takes a figure that came with an answer.
    /// @param slowness 1 is usual; above, work takes that many times as long.
    void on_report(double slowness, time_point now);

    /// Notes that the server is a new process. New ones work slowly for seconds, which no run can wait for.
    void on_new_server(time_point now);

    /// @return whether the server tells its speed at all.
    [[nodiscard]] bool is_known() const { return m_known; }

    [[nodiscard]] bool is_fresh(time_point now) const {
        return m_known && now - m_reported_at <= max_fresh_age;
    }

    /// @return the last figure, at least 1.
    [[nodiscard]] double current() const { return m_slowness; }

    /// @return time that a run loses at this server: by being slow if it starts now, or by waiting for the
    /// spell to end, whichever is less.
    [[nodiscard]] duration expected_delay(duration work, time_point now) const;

    /// @return whether waiting for the end of the spell is the better of both.
    [[nodiscard]] bool should_delay(duration work, time_point now) const;

  private:
    [[nodiscard]] double sustained_slowness(time_point now) const;

    bool m_known = false;
    double m_slowness = 1;
    double m_lowest_since_restart = std::numeric_limits<double>::infinity(); ///< Of the new server.
    time_point m_reported_at;
    time_point m_slow_since;
    time_point m_transient_since;             ///< Of a slowness beyond the sustained one.
    time_point m_warm_at = time_point::min(); ///< By then the server is warm.
};

} // namespace cornelpier
