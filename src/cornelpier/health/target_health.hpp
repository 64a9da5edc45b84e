#pragma once

#include "cornelpier/base/units.hpp"

#include <cstdint>
#include <memory>
#include <optional>

namespace cornelpier {

/// Whether a target may be chosen.
enum class health_state : std::uint8_t {
    healthy,
    ejected, ///< Not chosen until the ejection time is over.
    trial,   ///< Chosen for one request at a time.
};

/// Outcome of an attempt, as far as it depends on the target.
enum class health_outcome : std::uint8_t {
    success,
    failure,
    fast_failure, ///< Error that arrived faster than answers usually do.
};

/// Health of one target as seen by one entry.
class target_health {
  public:
    target_health();
    ~target_health();

    target_health(const target_health&) = delete;
    target_health& operator=(const target_health&) = delete;
    target_health(target_health&&) noexcept;
    target_health& operator=(target_health&&) noexcept;

    /// Records the outcome of an attempt.
    /// @param may_eject false if too many targets are ejected already.
    void on_outcome(health_outcome outcome, bool may_eject, time_point now);

    /// Starts the trial of an ejected target whose ejection time is over.
    void update(time_point now);

    /// @return whether the target may be chosen.
    [[nodiscard]] health_state state() const;

    /// @return whether the target is in trial and no trial request is in progress.
    [[nodiscard]] bool needs_trial() const;

    /// Records that a trial request was sent.
    void trial_sent();

    /// Records that the trial request ended without an outcome for the target.
    void trial_abandoned();

    /// @return time of the last recovery from an ejection, if there was one.
    [[nodiscard]] std::optional<time_point> recovered_at() const;

    /// @return smoothed failure rate of the latest attempts, in [0, 1]. It decays without new outcomes, so
    /// that a target avoided for its failures is chosen again.
    [[nodiscard]] double failure_rate(time_point now) const;

  private:
    class machine;
    std::unique_ptr<machine> m_machine;
};

} // namespace cornelpier
