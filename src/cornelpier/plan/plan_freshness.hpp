#pragma once

#include "cornelpier/membership/member.hpp"

#include <algorithm>
#include <optional>

namespace cornelpier {

/// Tracks the age of the plan in force: time since it was accepted, and since a reader last read it from the
/// configuration service.
class plan_freshness {
  public:
    explicit plan_freshness(time_point start) : m_fresh_since(start) {}

    /// Records that a new plan came into force, which discards the confirmations of the previous one.
    void accepted(time_point now) {
        m_in_force_since = now;
        m_fresh_since = now;
        m_confirmed_at.reset();
    }

    /// Records that a reader found the plan in force at the configuration service.
    /// @param at time of that read.
    void confirm(time_point at) {
        m_confirmed_at = m_confirmed_at ? std::max(*m_confirmed_at, at) : at;
        m_fresh_since = std::max(m_fresh_since, at);
    }

    /// Applies the confirmed age reported by a peer that has the same plan.
    void confirm_by_peer(duration age, time_point now) {
        if (age < unknown_age) {
            confirm(now - std::max(age, duration::zero()));
        }
    }

    [[nodiscard]] duration in_force_age(time_point now) const { return now - m_in_force_since; }

    /// @return time since the latest confirmation, at most `unknown_age`.
    [[nodiscard]] duration confirmed_age(time_point now) const {
        return m_confirmed_at ? std::min<duration>(now - *m_confirmed_at, unknown_age) : unknown_age;
    }

    /// @return time since the start, the acceptance or the latest confirmation, whichever is most recent.
    [[nodiscard]] duration unconfirmed_for(time_point now) const { return now - m_fresh_since; }

  private:
    time_point m_in_force_since;
    time_point m_fresh_since;
    std::optional<time_point> m_confirmed_at;
};

} // namespace cornelpier
