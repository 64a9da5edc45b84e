#pragma once

#include "cornelpier/base/units.hpp"

#include <cstdint>
#include <memory>
#include <optional>

namespace cornelpier {

/// Whether a target is chosen.
enum class health_state : std::uint8_t {
    healthy,
    ejected, ///< Not chosen until its time is over.
    trial,   ///< Chosen for one request at a time.
};

/// How an attempt ended, as far as it says something about the target.
enum class health_outcome : std::uint8_t {
    success,
    failure,
    fast_failure, ///< An error that came faster than usual answers.
};

/// Health of one target as one entry sees it.
class target_health {
  public:
    target_health();
    ~target_health();

    target_health(const target_health&) = delete;
    target_health& operator=(const target_health&) = delete;
    target_health(target_health&&) noexcept;
    target_health& operator=(target_health&&) noexcept;

    /// Notes how an attempt ended.
    /// @param may_eject false if too many targets are ejected already.
    void on_outcome(health_outcome outcome, bool may_eject, time_point now);

    /// Begins the trial of an ejected target whose time is over.
    void update(time_point now);

    /// @return whether the target is chosen.
    [[nodiscard]] health_state state() const;

    /// @return true if the target is in trial and no trial request is in progress.
    [[nodiscard]] bool needs_trial() const;

    /// Notes that a trial request was sent.
    void trial_sent();

    /// Notes that the trial request ended without saying anything about the target.
    void trial_abandoned();

    /// @return when the target came back from ejection, if it was ever ejected.
    [[nodiscard]] std::optional<time_point> recovered_at() const;

    /// @return share of failures among the latest attempts, in [0, 1]. It fades while nothing is heard, so
    /// that a target that is not chosen for it is chosen again some time.
    [[nodiscard]] double failure_rate(time_point now) const;

  private:
    class machine;
    std::unique_ptr<machine> m_machine;
};

} // namespace cornelpier
