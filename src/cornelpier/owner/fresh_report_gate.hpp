#pragma once

#include "cornelpier/owner/measurement_scheduler.hpp"
#include "cornelpier/owner/owner_state.hpp"
#include "cornelpier/owner/run_admission.hpp"

#include <deque>
#include <utility>

namespace cornelpier {

/// Delays the admission of runs until the server has reported its current slowness and whether it is cold,
/// which takes about a millisecond. Without this, a slowdown that begins between two responses of the server
/// would go unnoticed, and so would a server that has turned cold.
class fresh_report_gate {
  public:
    /// Time after which a run is passed on without a fresh report.
    static constexpr duration report_timeout = std::chrono::milliseconds{15};

    /// @param state must outlive the object.
    /// @param admission must outlive the object.
    /// @param measurements must outlive the object.
    fresh_report_gate(owner_state& state, run_admission& admission, measurement_scheduler& measurements)
        : m_state(state), m_admission(admission), m_measurements(measurements) {}

    /// Passes a run to the admission, at once or within `report_timeout`.
    void on_run(link_id link, const run_request& message);

    /// The server's report arrived or could not be read. Passes on the waiting runs.
    void on_report();

    /// Refuses a waiting run.
    /// @return false if the run is not waiting here.
    bool on_cancel(const attempt_id& attempt);

    /// Drops the waiting runs that arrived on a link.
    void on_link_closed(link_id link);

    /// Requests the server's report unless a request is pending. If the measuring budget does not allow it,
    /// the waiting runs are passed on at once.
    void request_report();

    /// Passes on the waiting runs at once.
    void forward_waiting();

  private:
    struct waiting_run {
        link_id link;
        run_request message;
        time_point arrived_at;
    };

    owner_state& m_state;
    run_admission& m_admission;
    measurement_scheduler& m_measurements;
    std::deque<waiting_run> m_waiting;
    bool m_report_pending = false;
    bool m_first_report_settled = false; ///< The first report arrived, failed or timed out.
    scoped_timer m_report_timeout_timer;
};

} // namespace cornelpier
