#pragma once

#include "cornelpier/base/units.hpp"

#include <cstddef>
#include <optional>

namespace cornelpier {

/// Paces the runs of a server that limits the rate of its requests, with the generic cell rate algorithm.
class run_pacer {
  public:
    /// Longest wait that is reported, also if the server accepts no requests at all.
    static constexpr duration max_wait = std::chrono::seconds{60};

    /// Applies the limit that the server names now, or none. A new limit starts without credit for a burst. A
    /// withdrawn one is lifted gradually: the runs that waited would otherwise overload the server again.
    void set_limit(std::optional<rate> limit, time_point now);

    /// Forgets the limit: it was named by a server process that has been replaced.
    void reset();

    /// Lets one run start per interval even if the limit allows fewer. Needed if only a response to a run can
    /// tell that the server accepts more again.
    /// @param interval nothing: the limit applies without exception.
    void set_trial_interval(std::optional<duration> interval) { m_trial_interval = interval; }

    /// @return the limit that the server names; nothing if it names none, even while one is being lifted.
    [[nodiscard]] std::optional<rate> limit() const { return m_withdrawn_at ? std::nullopt : m_limit; }

    /// @param ahead runs that start first.
    /// @return time until a run may start; zero if the rate is not limited.
    [[nodiscard]] duration wait(std::size_t ahead, time_point now) const;

    /// Records the start of a run.
    void on_start(time_point now);

  private:
    /// @return time between two runs at the rate in force; nothing if the rate is not limited.
    [[nodiscard]] std::optional<duration> interval(time_point now) const;

    std::optional<rate> m_limit;              ///< Named last.
    std::optional<time_point> m_withdrawn_at; ///< Set while or after the limit is lifted.
    std::optional<duration> m_trial_interval;
    time_point m_next; ///< Theoretical start of the next run at an even pace; runs may be early by a burst.
};

} // namespace cornelpier
