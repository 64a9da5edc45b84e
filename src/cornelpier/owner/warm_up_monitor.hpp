#pragma once

#include "cornelpier/admission/warm_up_limiter.hpp"
#include "cornelpier/node/traffic_events.hpp"
#include "cornelpier/owner/owner_state.hpp"
#include "cornelpier/owner/scoped_timer.hpp"

#include <functional>
#include <string>

namespace cornelpier {

/// Tells the limiter of the owner's server what happens to the server, and applies its decisions to the
/// pacer.
class warm_up_monitor {
  public:
    /// @param state must outlive the object.
    explicit warm_up_monitor(owner_state& state) : m_state(state) {}

    /// @param on_changed called after the server turned cold or warm.
    /// @param request_report requests the server's report.
    void set_handlers(std::function<void()> on_changed, std::function<void()> request_report);

    /// Applies the plan's warm-up rate, and the server process and remaining time that its entry states.
    void on_view();

    void on_report(const server_report& report);
    void on_report_failed();

    /// The server lost or refused a connection.
    void on_server_ended();

    /// Another process than expected answered a run.
    void on_misdirected();

  private:
    void on_possible_end(warm_up_cause cause);
    void apply_listed_process();
    /// Applies the limiter's state to the pacer.
    void update();
    void log_change() const;

    owner_state& m_state;
    std::function<void()> m_on_changed;
    std::function<void()> m_request_report;
    std::string m_listed_instance; ///< Process that the plan listed last.
    bool m_was_cold = false;
    scoped_timer m_confirm_timer; ///< Fires when the remaining time that the server reported is over.
    scoped_timer m_end_timer;     ///< Fires when the server counts as warm without a report.
};

} // namespace cornelpier
