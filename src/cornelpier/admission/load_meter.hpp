#pragma once

#include "cornelpier/admission/concurrency_limit.hpp"
#include "cornelpier/admission/failure_meter.hpp"
#include "cornelpier/admission/service_time_tracker.hpp"
#include "cornelpier/base/units.hpp"

#include <cstddef>
#include <cstdint>

namespace cornelpier {

/// Runs at the server at a point in time.
struct server_load {
    std::uint32_t in_flight = 0;
    duration mean_age{}; ///< Mean time since the runs were handed to the server; zero without runs.
};

/// Estimates what a new run experiences at the server: service time, wait and concurrency limit.
class load_meter {
  public:
    /// Applies the slots and the deadline of the plan.
    /// @param slots upper bound of the concurrency limit.
    /// @param deadline largest deadline of a call; half of it is the wait reported for a server that always
    /// fails.
    void configure(std::uint32_t slots, duration deadline);

    /// @param adaptive if false, the limit stays equal to the slots.
    void set_adaptive(bool adaptive) { m_adaptive = adaptive; }

    /// Records an answer of the server.
    /// @param took time since the run was handed to the server.
    /// @param error whether the answer is an error.
    /// @param in_flight runs at the server, including this one.
    void on_answered(duration took, bool error, std::uint32_t in_flight, time_point now);

    /// Records a run that was abandoned, cancelled or lost after it was handed to the server.
    void on_incomplete(duration age, std::uint32_t in_flight);

    /// Records that the connection broke before the answer.
    void on_lost(time_point now) { m_failures.on_error(now); }

    /// Records that no connection to the server could be established.
    void on_unreachable(time_point now) { m_failures.on_unreachable(now); }

    /// @return the larger of the average of completed runs and the mean age of the runs in progress.
    [[nodiscard]] duration current_service_time(const server_load& load) const;

    /// @param ahead queued runs that start first.
    /// @return time until a new run starts at the server.
    [[nodiscard]] duration expected_wait(const server_load& load, std::size_t ahead) const;

    /// @return the wait to report to entries: the expected wait, but at least the failure penalty, so that a
    /// server that fails fast does not appear idle.
    [[nodiscard]] duration reported_wait(const server_load& load, std::size_t ahead, time_point now) const;

    /// @return wait that is equivalent to the recent failures of the server.
    [[nodiscard]] duration failure_penalty(time_point now) const;

    /// @return time until the server has completed the running and the queued runs.
    [[nodiscard]] duration backlog_time(const server_load& load, std::size_t queued) const;

    /// @return the concurrency limit.
    [[nodiscard]] std::uint32_t limit() const { return m_limit.value(); }

  private:
    void update_limit(std::uint32_t in_flight);

    service_time_tracker m_service_time;
    failure_meter m_failures;
    concurrency_limit m_limit{1};
    bool m_adaptive = true;
    duration m_max_failure_penalty{std::chrono::seconds{1}};
};

} // namespace cornelpier
