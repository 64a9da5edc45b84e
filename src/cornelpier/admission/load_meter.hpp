#pragma once

#include "cornelpier/admission/concurrency_limit.hpp"
#include "cornelpier/admission/failure_meter.hpp"
#include "cornelpier/admission/service_time_tracker.hpp"
#include "cornelpier/base/units.hpp"

#include <cstddef>
#include <cstdint>

namespace cornelpier {

/// Runs at the server at one moment.
struct server_load {
    std::uint32_t in_flight = 0;
    duration mean_age{}; ///< Mean time since the hand-over; zero without runs.
};

/// Estimates what a new run would meet: service time, wait and how many runs the server gets at a time.
class load_meter {
  public:
    /// Takes slots and deadline from the plan.
    /// @param slots upper bound of the concurrency limit.
    /// @param deadline largest deadline of a call; half of it is the wait shown for a server that fails.
    void configure(std::uint32_t slots, duration deadline);

    /// @param adaptive false: the limit stays at the slots.
    void set_adaptive(bool adaptive) { m_adaptive = adaptive; }

    /// The server answered.
    /// @param took time since the hand-over.
    /// @param error the answer is an error.
    /// @param in_flight runs at the server, this one included.
    void on_answered(duration took, bool error, std::uint32_t in_flight, time_point now);

    /// A run was given up on, cancelled or lost after it was handed over.
    void on_incomplete(duration age, std::uint32_t in_flight);

    /// The connection broke before the answer.
    void on_lost(time_point now) { m_failures.on_error(now); }

    /// No connection to the server could be made.
    void on_unreachable(time_point now) { m_failures.on_unreachable(now); }

    /// @return the larger of the average of completed runs and the mean age of the runs in progress.
    [[nodiscard]] duration current_service_time(const server_load& load) const;

    /// @param ahead queued runs that go first.
    /// @return time until a new run reaches the server.
    [[nodiscard]] duration expected_wait(const server_load& load, std::size_t ahead) const;

    /// @return the expected wait as entries should see it: not near zero while the server fails fast.
    [[nodiscard]] duration reported_wait(const server_load& load, std::size_t ahead, time_point now) const;

    /// @return wait that stands for the failures of a server that fails fast.
    [[nodiscard]] duration failure_penalty(time_point now) const;

    /// @return time until the server has worked off what is running and queued.
    [[nodiscard]] duration backlog_time(const server_load& load, std::size_t queued) const;

    /// @return runs that the server gets at a time.
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
