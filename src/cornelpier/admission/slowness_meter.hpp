#pragma once

#include "cornelpier/base/units.hpp"

#include <limits>

namespace cornelpier {

/// Mean remaining time of a slowdown that was just detected; slowdowns last about half a second.
inline constexpr duration mean_slowdown_remaining = std::chrono::milliseconds{300};

/// Tracks how much slower than normal a server is, as reported with its latest answer. Noisy neighbours on
/// the same machine slow it down severalfold for some hundred milliseconds. The speed at the start of a run
/// determines how long it takes, so waiting for the end of the slowdown is often faster than starting at
/// once.
class slowness_meter {
  public:
    /// Maximum age of a report that predicts the duration of a run that starts now.
    static constexpr duration max_fresh_age = std::chrono::milliseconds{20};

    /// Records the slowness that the server reported.
    /// @param slowness 1 is normal; with higher values, work takes that many times as long.
    void on_report(double slowness, time_point now);

    /// Records that the server process was replaced. A new process is slow for seconds, which is too long for
    /// runs to wait.
    void on_new_server(time_point now);

    /// @return whether the server has reported its slowness.
    [[nodiscard]] bool is_known() const { return m_known; }

    [[nodiscard]] bool is_fresh(time_point now) const {
        return m_known && now - m_reported_at <= max_fresh_age;
    }

    /// @return the last reported slowness, at least 1.
    [[nodiscard]] double current() const { return m_slowness; }

    /// @return time that a run loses at this server, either by starting during the slowdown or by waiting for
    /// its end, whichever is less.
    [[nodiscard]] duration expected_delay(duration work, time_point now) const;

    /// @return whether a run ends sooner if it waits for the end of the slowdown.
    [[nodiscard]] bool should_defer(duration work, time_point now) const;

  private:
    [[nodiscard]] double sustained_slowness(time_point now) const;

    bool m_known = false;
    double m_slowness = 1;
    double m_lowest_since_restart = std::numeric_limits<double>::infinity(); ///< Of the new process.
    time_point m_reported_at;
    time_point m_slow_since;
    time_point m_transient_since;             ///< Start of the slowness above the sustained one.
    time_point m_warm_at = time_point::min(); ///< End of the warm-up time.
};

} // namespace cornelpier
