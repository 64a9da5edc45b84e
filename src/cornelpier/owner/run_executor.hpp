#pragma once

#include "cornelpier/node/traffic_events.hpp"
#include "cornelpier/owner/drain_controller.hpp"
#include "cornelpier/owner/owner_state.hpp"

#include <optional>

namespace cornelpier {

/// Takes accepted runs through the queue and the server to their final answer.
class run_executor {
  public:
    /// @param state and
    /// @param drain_control outlive the object.
    run_executor(owner_state& state, drain_controller& drain_control)
        : m_state(state), m_drain(drain_control) {}

    /// @return whether a run of the class could start or be queued now.
    [[nodiscard]] bool has_capacity(request_class priority) const;

    /// Records a run and starts or queues it. The checks of `run_admission` have passed.
    /// @param link where the answer goes.
    /// @param deadline on the own clock.
    /// @param key text of the key that the run opens in the key ledger, if any.
    void accept(link_id link, const run_request& message, time_point deadline,
                std::optional<std::string> key);

    /// Takes the name of the server process that runs now. Entries learn it from the store only seconds after
    /// a restart.
    void on_server_instance(const std::string& instance);

    void on_answered(const server_answered& event);
    void on_failed(const server_failed& event);
    void on_cancel(const attempt_id& attempt);
    void on_link_closed(link_id link);

    /// The own server leaves: queued runs go back to their entries. Word of the leaving may have taken all of
    /// the time within which a server that leaves may still get runs.
    void refuse_queued();

    /// Refuses the queued runs whose deadline has passed.
    void refuse_overdue();

    /// @return whether the next queued run waits for the end of a slow spell and not for a slot.
    [[nodiscard]] bool is_deferring() const;

    /// Starts queued runs while the limit allows.
    void start_queued();

  private:
    [[nodiscard]] bool has_free_slot() const;
    /// @return whether a run had better wait until its server's slow spell is over.
    [[nodiscard]] bool must_defer(const accepted_run& accepted) const;
    /// @return whether a run has to wait because a slot is kept for runs that are in time.
    [[nodiscard]] bool is_blocked_by_reserve(const accepted_run& accepted) const;
    /// @return whether a queued run would probably be cancelled at its deadline if it started now.
    [[nodiscard]] bool would_miss_deadline(const accepted_run& accepted) const;
    [[nodiscard]] duration time_at_server(const accepted_run& accepted) const;

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

    /// After a run ended: its place may be used, and the drain may be over.
    void on_run_ended();

    owner_state& m_state;
    drain_controller& m_drain;
};

} // namespace cornelpier
