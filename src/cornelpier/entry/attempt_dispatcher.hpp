#pragma once

#include "cornelpier/entry/attempt_index.hpp"
#include "cornelpier/entry/call_table.hpp"
#include "cornelpier/entry/entry_context.hpp"
#include "cornelpier/entry/health_reporter.hpp"
#include "cornelpier/entry/link_set.hpp"
#include "cornelpier/entry/target_selector.hpp"
#include "cornelpier/routing/reading_table.hpp"
#include "cornelpier/routing/round_trip_table.hpp"

#include <functional>
#include <unordered_map>

namespace cornelpier {

/// Components that the dispatcher uses and updates; not owned.
struct dispatcher_dependencies {
    call_table& calls;
    reading_table& readings;
    round_trip_table& round_trips;
    health_reporter& health;
    link_set& links;
};

/// Sends attempts and tracks each one until the owner's final reply, also when the link is lost in between.
class attempt_dispatcher {
  public:
    /// Called once per attempt. May remove the call.
    using settled_callback = std::function<void(call_state&, const attempt_state&, const attempt_result&)>;

    attempt_dispatcher(entry_context& context, dispatcher_dependencies deps, settled_callback on_settled);

    /// Adds an attempt to the call and sends it as soon as there is a link and, if required, a permit.
    void start(call_state& call, const selection& selected, const attempt_state& flags);

    /// Withdraws the attempts to evacuated data centres that were not sent yet, so that their calls choose
    /// other targets.
    void withdraw_evacuated();

    /// Ends all open attempts of a call without waiting for replies. Those without an idempotency key are
    /// cancelled at their owners.
    void abandon_attempts(call_state& call);

    void on_link_ready(const target_id& target);
    void on_link_lost(const target_id& target, link_loss cause);
    void on_hello(const target_id& target, incarnation process);

    /// Sends the attempts that waited for a permit, after a reading or a grant came in.
    void on_permit(const target_id& target);

    /// @return false if the answer matches no open attempt.
    bool on_answer(const target_id& target, const run_response& reply);
    void on_fate(const target_id& target, const fate_reply& reply);

    /// @return true if a reply from the owner is outstanding.
    [[nodiscard]] bool awaits_reply(const target_id& target) const;

  private:
    void send_waiting(const target_id& target);
    bool try_send(call_state& call, attempt_state& attempt);
    void send_run(call_state& call, attempt_state& attempt);
    void request_permit(const target_id& target);
    void query_fate(const attempt_state& attempt);
    void schedule_fate_query(const attempt_state& attempt);
    void handle_loss_before_send(const target_id& target, const attempt_id& id, link_loss cause);
    void handle_loss_after_send(const attempt_id& id, link_loss cause);
    void cancel_run(const attempt_state& attempt);
    void observe_round_trip(const attempt_state& attempt, const run_response& reply);
    void settle(call_state& call, attempt_state& attempt, const attempt_result& result);
    void release(attempt_state& attempt);
    [[nodiscard]] duration remaining(const call_state& call, const attempt_state& attempt) const;

    entry_context& m_context;
    dispatcher_dependencies m_deps;
    settled_callback m_on_settled;
    attempt_index m_index;
    std::unordered_map<target_id, std::vector<attempt_id>> m_pending_cancels; ///< Until a link is ready.
    std::unordered_map<target_id, time_point> m_permit_requests; ///< Send time, until the grant arrives.
};

} // namespace cornelpier
