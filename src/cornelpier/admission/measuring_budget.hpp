#pragma once

#include "cornelpier/base/units.hpp"

#include <cstddef>
#include <deque>
#include <optional>

namespace cornelpier {

/// Limits the measurements of one server: no window of one second contains more than the rate allows. A rate
/// below one per second allows one measurement in a correspondingly longer window.
///
/// A restarted process must not spend what its predecessor may have spent, but it has to learn which instance
/// its server is and how fast it is. Part of a large rate is reserved for the first window and never spent
/// later, so that windows that contain a restart stay within the rate as well.
class measuring_budget {
  public:
    /// @param start start of the process. In the first window, everything but the reserved part counts as
    /// used, since a predecessor may have spent it.
    explicit measuring_budget(time_point start) : m_start(start) {}

    /// Changes the rate; earlier measurements still count.
    /// @param limit measurements per second; 0 or less allows none.
    void set_rate(rate limit);

    /// Takes one measurement from the budget.
    /// @return false if the budget allows none now.
    bool try_take(time_point now);

    /// @return time at which the budget allows the next measurement; nothing if it never does.
    [[nodiscard]] std::optional<time_point> next_available(time_point now) const;

    /// @return number of measurements within the last second.
    [[nodiscard]] std::size_t taken_last_second(time_point now) const;

  private:
    void discard_old(time_point now);

    time_point m_start;
    std::size_t m_per_window = 0;
    std::size_t m_startup_allowance = 0; ///< Reserved for the first window.
    duration m_window{std::chrono::seconds{1}};
    std::deque<time_point> m_taken;
};

} // namespace cornelpier
