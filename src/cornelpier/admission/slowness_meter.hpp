#pragma once

#include "cornelpier/base/units.hpp"

#include <array>
#include <cstdint>

namespace cornelpier {

/// Mean rest of a spell of slowness that was noticed just now; spells last about half a second.
inline constexpr duration usual_spell_rest = std::chrono::milliseconds{300};

/// How much slower than usual a server is, as it told with its last answer. A run takes as long as the speed
/// at its start says. Answers two loads that look alike in a single figure:
/// - neighbours on the machine slow it several times over for some hundred milliseconds, so that waiting for
///   the end of the spell is often faster than to start;
/// - a cold start or a lasting fault slows it for seconds, so that nothing is gained by waiting and all work
///   has to be planned with the longer time.
/// The lowest figure of the last second tells them apart.
class slowness_meter {
  public:
    /// A figure of this age says how a run that starts now will fare.
    static constexpr duration fresh_for = std::chrono::milliseconds{20};

    /// What has not been interrupted for this time is no spell.
    static constexpr duration longest_spell = std::chrono::seconds{1};

    /// Takes a figure that came with an answer.
    /// @param slowness 1 is usual; above, work takes that many times as long.
    void on_figure(double slowness, time_point now);

    /// @return whether the server tells its speed at all.
    [[nodiscard]] bool is_known() const { return m_known; }

    [[nodiscard]] bool is_fresh(time_point now) const { return m_known && now - m_told_at <= fresh_for; }

    /// @return the last figure, at least 1.
    [[nodiscard]] double current() const { return m_slowness; }

    /// @return the part of the slowness that waiting does not end, at least 1.
    [[nodiscard]] double lasting() const { return m_lasting; }

    /// @param work time at a server of usual speed.
    /// @return time that the work takes outside of spells.
    [[nodiscard]] duration lasting_work(duration work) const;

    /// @return time that a run loses at this server: by being slow if it starts now, or by waiting for the
    /// spell to end, whichever is less.
    [[nodiscard]] duration expected_loss(duration work, time_point now) const;

    /// @return whether waiting for the end of the spell is the better of both.
    [[nodiscard]] bool is_better_held(duration work, time_point now) const;

  private:
    void note_lowest(time_point now);
    double& lowest_of(std::int64_t number) { return m_lowest.at(static_cast<std::size_t>(number) % periods); }
    [[nodiscard]] duration rest_of_spell(time_point now) const;
    [[nodiscard]] duration loss_by_spell(duration work) const;

    /// Lowest figures of the periods that make up `longest_spell`; the newest is still open.
    static constexpr std::size_t periods = 4;
    static constexpr duration period = longest_spell / periods;

    bool m_known = false;
    double m_slowness = 1;
    double m_lasting = 1;
    std::array<double, periods> m_lowest{};
    std::int64_t m_period = 0;       ///< Number of the newest period.
    std::int64_t m_first_period = 0; ///< From which on figures came without a gap.
    time_point m_told_at;
    time_point m_spell_began;
};

} // namespace cornelpier
