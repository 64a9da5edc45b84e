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
    static constexpr duration report_timeout = std::chrono::milliseconds{15};

    /// @param state and
    /// @param admission and
    /// @param measurements outlive the object.
    fresh_report_gate(owner_state& state, run_admission& admission, measurement_scheduler& measurements)
        : m_state(state), m_admission(admission), m_measurements(measurements) {}

    /// Takes a run; passes it to the admission now or within `report_timeout`.
    void on_run(link_id link, const run_request& message);

    /// The server told its figures, or could not be asked.
    void on_report();

    /// Refuses a run that waits here.
    /// @return false if it does not.
    bool on_cancel(const attempt_id& attempt);

    /// Drops the runs that came on a link.
    void on_link_closed(link_id link);

    /// Asks for a figure unless one is on its way.
    void request_report();

  private:
    struct waiting_run {
        link_id link;
        run_request message;
        time_point arrived_at;
    };

    void forward_waiting();

    owner_state& m_state;
    run_admission& m_admission;
    measurement_scheduler& m_measurements;
    std::deque<waiting_run> m_waiting;
    bool m_report_pending = false;
    bool m_first_report_settled = false; ///< Or could not be asked in time.
    scoped_timer m_report_timeout_timer;
};

} // namespace cornelpier
