#pragma once

#include "cornelpier/admission/warm_up_pacer.hpp"
#include "cornelpier/base/units.hpp"

#include <cstddef>
#include <optional>

namespace cornelpier {

/// Paces the runs of a server that limits the rate of its requests, with the generic cell rate algorithm, and
/// of a cold server. The lower of the two rates applies.
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

    /// Sets the rate that applies while the server is cold, or none.
    void set_warm_up_rate(std::optional<rate> limit, time_point now);

    /// Sets whether the server is cold. The end takes effect at once: a warm server stands full traffic.
    /// @param until time at which it counts as warm without further news; `time_point::max()` if only its
    /// report can tell; a time that has passed if it is warm.
    void set_cold_until(time_point until, time_point now);

    /// @return the rate in force: that of the server's limit or of its warm-up, whichever is lower; nothing
    /// if neither applies.
    [[nodiscard]] std::optional<rate> rate_in_force(time_point now) const;

    /// @return whether the warm-up rate applies.
    [[nodiscard]] bool is_cold(time_point now) const { return m_warm_up_rate && now < m_cold_until; }

    /// @param ahead runs that start first.
    /// @return time until a run may start; zero if the rate is not limited.
    [[nodiscard]] duration wait(std::size_t ahead, time_point now) const;

    /// Records the start of a run.
    void on_start(time_point now);

  private:
    [[nodiscard]] duration limit_wait(std::size_t ahead, time_point now) const;
    [[nodiscard]] duration warm_up_wait(std::size_t ahead, time_point now) const;

    /// @return time between two runs at the rate in force; nothing if the rate is not limited.
    [[nodiscard]] std::optional<duration> interval(time_point now) const;

    std::optional<rate> m_limit;              ///< Named last.
    std::optional<time_point> m_withdrawn_at; ///< Set while or after the limit is lifted.
    std::optional<duration> m_trial_interval;
    time_point m_next; ///< Theoretical start of the next run at an even pace; runs may be early by a burst.
    std::optional<rate> m_warm_up_rate;
    time_point m_cold_until = time_point::min();
    warm_up_pacer m_warm_up;
};

} // namespace cornelpier
