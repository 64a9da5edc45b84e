#pragma once

#include "cornelpier/owner/owner_state.hpp"
#include "cornelpier/owner/run_executor.hpp"
#include "cornelpier/quarantine/recent_successes.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace cornelpier {

/// Finds out whether the server ended when it loses the connection of a run, names the requests that were in
/// progress, and exchanges with other nodes which requests are suspected.
///
/// The failed runs are answered only after the check, and after their entries have been told. An entry that
/// tries a lost run again therefore knows whether the request is suspected. Other entries learn it from a
/// refusal.
class crash_monitor {
  public:
    /// @param state must outlive the object.
    /// @param executor must outlive the object.
    crash_monitor(owner_state& state, run_executor& executor) : m_state(state), m_executor(executor) {}

    /// @param publisher informs the other owners of the service.
    void set_publisher(std::function<void(const suspect_update&)> publisher) {
        m_publisher = std::move(publisher);
    }

    /// The server closed or reset the connection of a run.
    void on_connection_lost(run_id run);

    void on_server_checked(server_presence presence);

    /// A run ended with a response that is no failure of the server.
    void on_success(const run_trace& trace);

    /// Another node sent what it knows about suspects.
    void on_update(const suspect_update& update);

    /// Tells an entry what is known, if anything.
    void inform(link_id link);

    /// @return ends of the server with runs in progress.
    [[nodiscard]] std::uint64_t count() const { return m_crashes; }

  private:
    struct exposed_run {
        run_id run;
        run_trace trace;
        duration age{}; ///< Time at the server when the first connection was lost.
        std::optional<link_id> reply_to;
    };

    [[nodiscard]] bool is_leaving() const;
    /// @return the requests that may have ended the server.
    [[nodiscard]] std::vector<request_fingerprint> possible_causes() const;
    void inform_owners(const suspect_update& update);
    void begin_check();
    void report_crash();
    void log_crash() const;
    void log_quarantines(const suspect_changes& changes);

    owner_state& m_state;
    run_executor& m_executor;
    std::function<void(const suspect_update&)> m_publisher;
    recent_successes m_successes;
    std::vector<exposed_run> m_exposed; ///< In progress at the first loss, youngest first.
    std::vector<run_id> m_lost;         ///< Lost runs that wait for the check.
    std::set<run_id> m_reported;        ///< Runs that the last end of the server interrupted.
    std::uint64_t m_crashes = 0;
    bool m_checking = false;
};

} // namespace cornelpier
