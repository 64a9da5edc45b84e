#pragma once

#include "cornelpier/owner/measurement_scheduler.hpp"
#include "cornelpier/owner/owner_state.hpp"
#include "cornelpier/owner/run_admission.hpp"

#include <deque>
#include <utility>

namespace cornelpier {

/// Lets runs wait for a fresh figure of the server's speed, which is told within a millisecond, before the
/// admission decides on them. Answers spells of slowness that begin between two answers of the server.
class fresh_report_gate {
  public:
    /// Time after which a run is decided on without a fresh figure.
    static constexpr duration figure_limit = std::chrono::milliseconds{15};

    /// @param state and
    /// @param admission and
    /// @param measurements outlive the object.
    fresh_report_gate(owner_state& state, run_admission& admission, measurement_scheduler& measurements)
        : m_state(state), m_admission(admission), m_measurements(measurements) {}

    /// Takes a run; passes it to the admission now or within `figure_limit`.
    void on_run(link_id link, const run& message);

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
        run message;
        time_point at;
    };

    void release();

    owner_state& m_state;
    run_admission& m_admission;
    measurement_scheduler& m_measurements;
    std::deque<arrival> m_waiting;
    bool m_asked = false;
    bool m_reported = false; ///< Or could not be asked in time.
    scoped_timer m_limit_timer;
};

} // namespace cornelpier
