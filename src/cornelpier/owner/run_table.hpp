#pragma once

#include "cornelpier/admission/load_meter.hpp"
#include "cornelpier/owner/accepted_run.hpp"

#include <cstddef>
#include <map>
#include <unordered_map>
#include <vector>

namespace cornelpier {

/// Table of the accepted runs, queued or at the server.
class run_table {
  public:
    /// Adds a run and assigns its id.
    accepted_run& add(accepted_run accepted);

    /// Removes and returns a run. The id must be in the table.
    accepted_run remove(run_id id);

    /// Marks a run as dispatched to the server.
    void mark_dispatched(accepted_run& accepted, time_point now);

    [[nodiscard]] accepted_run* find(run_id id);
    [[nodiscard]] accepted_run* find(const attempt_id& attempt);

    /// @return the runs whose answer is to be sent on the link, in order of arrival.
    [[nodiscard]] std::vector<run_id> awaiting_reply_on(link_id link) const;

    /// @return the runs that have not been dispatched, in order of arrival.
    [[nodiscard]] std::vector<run_id> queued() const;

    /// @return the runs at the server, the one that was dispatched last first.
    [[nodiscard]] std::vector<run_id> at_server_youngest_first() const;

    /// @return number of suspects among the runs.
    [[nodiscard]] std::size_t suspects() const;

    /// @return whether a suspect is at the server.
    [[nodiscard]] bool has_suspect_at_server() const;

    /// @return the suspects that have not been dispatched, in order of arrival.
    [[nodiscard]] std::vector<run_id> queued_suspects() const;

    /// @return the queued runs whose deadline has passed, in order of arrival.
    [[nodiscard]] std::vector<run_id> queued_past_deadline(time_point now) const;

    /// @return count and mean age of the runs at the server. Runs whose deadline has passed count, but their
    /// age does not: a few stuck connections would otherwise make the server look slow.
    [[nodiscard]] server_load load(time_point now) const;

    /// @return expected remaining time of each run at the server, from its baseline service time and the
    /// server's slowness when it started. At least a quarter of the run's age, because a run that exceeded
    /// its estimate may take much longer still.
    [[nodiscard]] std::vector<duration> remaining_service_times(time_point now) const;

    /// @return total size of the bodies of queued runs.
    [[nodiscard]] std::size_t queued_bytes() const { return m_queued_bytes; }

    [[nodiscard]] std::size_t at_server() const { return m_at_server_count; }
    [[nodiscard]] bool empty() const { return m_runs.empty(); }

  private:
    /// @return the runs that match the predicate, in order of arrival.
    template <typename Predicate>
    std::vector<run_id> select_ids(Predicate wanted) const;

    std::uint64_t m_last_id = 0;
    std::size_t m_at_server_count = 0;
    std::size_t m_queued_bytes = 0;
    std::map<run_id, accepted_run> m_runs;
    std::unordered_map<attempt_id, run_id> m_by_attempt;
};

} // namespace cornelpier
