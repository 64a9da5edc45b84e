#pragma once

#include "cornelpier/node/traffic_events.hpp"
#include "cornelpier/owner/drain_controller.hpp"
#include "cornelpier/owner/owner_state.hpp"

#include <optional>

namespace cornelpier {

/// Queues accepted runs, dispatches them to the server and sends their final answers.
class run_executor {
  public:
    /// @param state must outlive the object.
    /// @param drain_control must outlive the object.
    run_executor(owner_state& state, drain_controller& drain_control)
        : m_state(state), m_drain(drain_control) {}

    /// @return whether a run of this class could start or be queued now.
    [[nodiscard]] bool has_capacity(request_class priority) const;

    /// Adapts the runs to changes of the suspects: refuses queued ones that are in quarantine, cancels
    /// idempotent ones at the server, and lets suspects wait for each other.
    void on_suspects_changed();

    /// The server process has ended. The entries learn from the next reading that it is down.
    void on_server_ended();

    /// Adds a run that passed the checks of `run_admission`, and starts or queues it.
    /// @param link link on which the answer is sent.
    /// @param deadline on this node's clock.
    /// @param key scoped key under which the run is open in the key ledger, if any.
    void accept(link_id link, const run_request& message, time_point deadline,
                std::optional<std::string> key);

    /// Stores the name of the current server process as the server's report states it. Entries learn it from
    /// the store only seconds after a restart.
    void on_server_instance(const std::string& instance);

    void on_answered(const server_answered& event);
    void on_failed(const server_failed& event);
    void on_cancel(const attempt_id& attempt);
    void on_link_closed(link_id link);

    /// Refuses all queued runs because this target's server must not get any more; the entries choose other
    /// targets. When this node learns of it, the period in which the server may still get runs may be over.
    void refuse_queued(refusal reason);

    /// Refuses the queued runs whose deadline has passed, without waiting for their timers.
    void refuse_overdue();

    /// @return whether a slot is free but the next queued run waits for the end of a transient slowdown.
    [[nodiscard]] bool is_deferring() const;

    /// Starts queued runs while the concurrency limit and the server's rate limit allow.
    void start_queued();

    /// Refuses the queued runs that the server's rate limit keeps from starting before their deadline,
    /// without waiting for their timers.
    void refuse_unservable();

  private:
    [[nodiscard]] bool has_free_slot() const;
    /// @return whether a slot is free and the server's rate limit allows a run now.
    [[nodiscard]] bool may_start() const;
    /// @return latest start at which the run can still end before its deadline.
    [[nodiscard]] static time_point last_start(const accepted_run& accepted);
    /// @return whether the run should start only after the current slowdown, to complete sooner.
    [[nodiscard]] bool must_defer(const accepted_run& accepted) const;
    /// @return whether the run is late and the remaining slots are reserved for on-time runs.
    [[nodiscard]] bool is_blocked_by_reserve(const accepted_run& accepted) const;
    /// @return whether a queued run would probably reach its deadline at the server if it started now.
    [[nodiscard]] bool would_miss_deadline(const accepted_run& accepted) const;
    [[nodiscard]] duration time_at_server(const accepted_run& accepted) const;

    void update_suspect_at_server(accepted_run& accepted);
    void update_queued_suspect(accepted_run& accepted);
    void schedule_last_start(accepted_run& accepted);

    /// Starts a run, or queues it if it may not start at once.
    void enqueue(accepted_run& accepted);

    /// Enqueues the first waiting suspect if no other suspect is queued or at the server.
    void release_suspect();

    void dispatch(accepted_run& accepted);
    [[nodiscard]] std::string expected_instance(const accepted_run& accepted) const;
    void log_run_ended(const accepted_run& accepted, int status);
    void on_deadline(run_id id);
    void on_late_result_timeout(run_id id);
    void cancel_at_server(accepted_run& accepted);
    void abandon(run_id id, bool answer_wanted);
    void complete(run_id id, run_response final_answer);
    void refuse(run_id id, refusal reason);
    [[nodiscard]] run_response make_final_answer(const accepted_run& accepted, const http_response& response,
                                                 bool refused) const;

    [[nodiscard]] duration key_retention() const;

    /// Starts queued runs in the slot that became free, and stops the node if this completed its drain.
    void on_run_ended();

    owner_state& m_state;
    drain_controller& m_drain;
    bool m_has_suspects = false;              ///< A run may be a suspect.
    std::optional<run_id> m_released_suspect; ///< The suspect that was enqueued last.
    scoped_timer m_pace_timer;                ///< Fires when the server's rate limit allows the next run.
};

} // namespace cornelpier
