#pragma once

#include "cornelpier/base/units.hpp"

#include <cstddef>
#include <deque>
#include <optional>

namespace cornelpier {

/// Paces the runs of a cold server: generic cell rate algorithm with a small burst, and a bound on the starts
/// in any window. All starts count for the window, also those before the server turned cold.
///
/// A cold server stands rate x 1.5 + 8 requests in any second. With a window of 1.1 s the pacer allows at
/// most rate x 1.1 + 5.
class warm_up_pacer {
  public:
    /// Longer than one second, so that runs that reach the server at an uneven pace do not exceed the bound.
    static constexpr duration window = std::chrono::milliseconds{1100};

    /// Runs that may start together at the beginning of the cold period or after a pause of the callers.
    static constexpr std::size_t burst = 4;

    /// Bounds the memory for starts. Rates above 7,400 a second are paced to as many per window.
    static constexpr std::size_t max_recorded_starts = 8192;

    /// @return starts that a window may contain at this rate.
    static std::size_t starts_per_window(rate limit);

    /// Sets the rate that applies while the server is cold, or none. If more starts count now than were
    /// recorded before, none is allowed for the length of the window: an earlier owner process may have used
    /// all of it.
    void set_rate(std::optional<rate> limit, time_point now);

    /// The server turned cold. Only the window limits the first runs.
    void begin(time_point now);

    /// Records the start of a run.
    void on_start(time_point now, bool cold);

    /// @param ahead runs that start first.
    /// @return time until a run may start at a cold server; zero without a rate.
    [[nodiscard]] duration wait(std::size_t ahead, time_point now) const;

  private:
    [[nodiscard]] duration step() const;
    [[nodiscard]] time_point window_opens_at(std::size_t ahead) const;

    std::optional<rate> m_rate;
    std::size_t m_max_starts = 0;    ///< In one window.
    std::deque<time_point> m_starts; ///< The last `m_max_starts` ones.
    time_point m_next;               ///< Theoretical start of the next run at an even pace.
    time_point m_hold_until;
};

} // namespace cornelpier
