#pragma once

#include "cornelpier/base/units.hpp"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <iterator>
#include <vector>

namespace cornelpier {

/// Counts the runs that a server gets in every window of one second.
class start_counter {
  public:
    /// @return requests that a cold server may get in any second.
    static std::size_t allowed(rate limit) {
        constexpr double overshoot = 1.5;
        constexpr double slack = 8;
        return static_cast<std::size_t>(std::floor(limit.per_second * overshoot + slack));
    }

    /// @param at not earlier than the previous one.
    void add(time_point at) { m_starts.push_back(at); }

    /// Adds the runs that another process started, on whose clock `at` is the time `zero` of this one.
    void add_all(const start_counter& other, time_point at, time_point zero) {
        for (const time_point it : other.m_starts) {
            m_starts.push_back(zero + (it - at));
        }
    }

    /// Adds the runs that another counter has from before a time.
    void add_until(const start_counter& other, time_point end) {
        std::ranges::copy_if(other.m_starts, std::back_inserter(m_starts),
                             [end](time_point it) { return it < end; });
    }

    [[nodiscard]] std::size_t count() const { return m_starts.size(); }

    /// @return runs in the second that ends now, with both ends.
    [[nodiscard]] std::size_t in_last_second(time_point now) const {
        return static_cast<std::size_t>(m_starts.end() -
                                        std::ranges::lower_bound(m_starts, now - std::chrono::seconds{1}));
    }

    /// @return the largest number of runs in any second.
    [[nodiscard]] std::size_t most_in_a_second() const {
        std::size_t most = 0;
        for (auto it = m_starts.begin(); it != m_starts.end(); ++it) {
            const auto end = std::upper_bound(it, m_starts.end(), *it + std::chrono::seconds{1});
            most = std::max(most, static_cast<std::size_t>(end - it));
        }
        return most;
    }

  private:
    std::vector<time_point> m_starts;
};

} // namespace cornelpier
