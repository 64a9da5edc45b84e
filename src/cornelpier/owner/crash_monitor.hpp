#pragma once

#include "cornelpier/owner/owner_state.hpp"

#include <vector>

namespace cornelpier {

/// Finds out whether the server ended when it loses the connection of a run, and which runs were in progress.
class crash_monitor {
  public:
    /// @param state must outlive the object.
    explicit crash_monitor(owner_state& state) : m_state(state) {}

    /// The server closed or reset the connection of a run that is still in the run table.
    void on_connection_lost();

    void on_server_checked(server_presence presence);

  private:
    struct exposed_run {
        run_trace trace;
        duration age{}; ///< Time at the server when the first connection was lost.
    };

    void log_crash() const;

    owner_state& m_state;
    std::vector<exposed_run> m_exposed; ///< In progress at the first loss, youngest first.
    bool m_checking = false;
};

} // namespace cornelpier
