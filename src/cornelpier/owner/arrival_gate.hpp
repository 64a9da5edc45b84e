#pragma once

#include "cornelpier/owner/measuring_schedule.hpp"
#include "cornelpier/owner/owner_state.hpp"
#include "cornelpier/owner/run_intake.hpp"

#include <deque>
#include <utility>

namespace cornelpier {

/// Lets runs wait for a fresh figure of the server's speed, which is told within a millisecond, before the
/// intake decides on them. Answers spells of slowness that begin between two answers of the server.
class arrival_gate {
  public:
    /// Time after which a run is decided on without a fresh figure.
    static constexpr duration figure_limit = std::chrono::milliseconds{15};

    /// @param state and
    /// @param intake and
    /// @param measuring outlive the object.
    arrival_gate(owner_state& state, run_intake& intake, measuring_schedule& measuring)
        : m_state(state), m_intake(intake), m_measuring(measuring) {}

    /// Takes a run; passes it to the intake now or within `figure_limit`.
    void on_run(link_id link, const run_request& message);

    /// The server told its figures, or could not be asked.
    void on_report();

    /// Refuses a run that waits here.
    /// @return false if it does not.
    bool on_cancel(const attempt_id& attempt);

    /// Drops the runs that came on a link.
    void on_link_closed(link_id link);

    /// Asks for a figure unless one is on its way.
    void ask();

  private:
    struct arrival {
        link_id link;
        run_request message;
        time_point at;
    };

    void release();

    owner_state& m_state;
    run_intake& m_intake;
    measuring_schedule& m_measuring;
    std::deque<arrival> m_waiting;
    bool m_asked = false;
    bool m_reported = false; ///< Or could not be asked in time.
    scoped_timer m_limit_timer;
};

} // namespace cornelpier
