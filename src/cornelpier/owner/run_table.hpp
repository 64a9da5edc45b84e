#pragma once

#include "cornelpier/admission/load_meter.hpp"
#include "cornelpier/owner/accepted_run.hpp"

#include <cstddef>
#include <map>
#include <unordered_map>
#include <vector>

namespace cornelpier {

/// Runs in progress at the owner, queued or at the server.
class run_table {
  public:
    /// Adds a run and gives it its id.
    accepted_run& add(accepted_run accepted);

    /// Takes a run out.
    /// @return the run; the id must be known.
    accepted_run remove(run_id id);

    /// Marks a run as handed over to the server.
    void mark_dispatched(accepted_run& accepted, time_point now);

    [[nodiscard]] accepted_run* find(run_id id);
    [[nodiscard]] accepted_run* find(const attempt_id& attempt);

    /// @return the runs whose answer goes to the link, in order of arrival.
    [[nodiscard]] std::vector<run_id> awaiting_reply_on(link_id link) const;

    /// @return the runs that have not been handed over, in order of arrival.
    [[nodiscard]] std::vector<run_id> queued() const;

    /// @return the queued runs whose deadline has passed, in order of arrival.
    [[nodiscard]] std::vector<run_id> queued_past_deadline(time_point now) const;

    /// @return count and mean age of the runs at the server. Runs that were given up on count, but their age
    /// does not: a few stuck connections would make the server look slow.
    [[nodiscard]] server_load load(time_point now) const;

    /// @return expected rest of each run at the server, by its work and the server's speed at its start. A
    /// run that took longer already is expected to go on for a part of its age.
    [[nodiscard]] std::vector<duration> remaining_service_times(time_point now) const;

    /// @return bytes of the bodies of queued runs.
    [[nodiscard]] std::size_t queued_bytes() const { return m_queued_bytes; }

    [[nodiscard]] std::size_t at_server() const { return m_at_server_count; }
    [[nodiscard]] bool empty() const { return m_runs.empty(); }

  private:
    /// @return the wanted runs, in order of arrival.
    template <typename Predicate>
    std::vector<run_id> select_ids(Predicate wanted) const;

    std::uint64_t m_last_id = 0;
    std::size_t m_at_server_count = 0;
    std::size_t m_queued_bytes = 0;
    std::map<run_id, accepted_run> m_runs;
    std::unordered_map<attempt_id, run_id> m_by_attempt;
};

} // namespace cornelpier
