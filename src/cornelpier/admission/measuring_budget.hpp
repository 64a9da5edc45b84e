#pragma once

#include "cornelpier/base/units.hpp"

#include <cstddef>
#include <deque>
#include <optional>

namespace cornelpier {

/// Bounds the measurements of one server: in no window of one second are there more than the rate allows.
/// A rate below one per second allows one measurement in a correspondingly longer window.
///
/// A process that just started must not spend what its predecessor may have spent, but it has to learn which
/// server it has and how fast that is. Of a large rate a part is kept for this: it is never spent later, so
/// that the windows that contain a restart stay within the rate too.
class measuring_budget {
  public:
    /// @param start start of the process. All but the part for starts counts as used in the first window,
    /// because a predecessor may have spent it.
    explicit measuring_budget(time_point start) : m_start(start) {}

    /// Changes the rate; measurements of the past still count.
    /// @param limit measurements per second; 0 or less allows none.
    void set_rate(rate limit);

    /// Takes one measurement from the budget.
    /// @return false if the budget allows none now.
    bool try_take(time_point now);

    /// @return when the budget allows the next measurement, or nothing if it never does.
    [[nodiscard]] std::optional<time_point> next_available(time_point now) const;

    /// @return measurements within the last second.
    [[nodiscard]] std::size_t taken_last_second(time_point now) const;

  private:
    void discard_old(time_point now);

    time_point m_start;
    std::size_t m_per_window = 0;
    std::size_t m_startup_allowance = 0; ///< Allowed in the first window, and only there.
    duration m_window{std::chrono::seconds{1}};
    std::deque<time_point> m_taken;
};

} // namespace cornelpier
