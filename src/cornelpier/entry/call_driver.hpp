#pragma once

#include "cornelpier/entry/answer_composer.hpp"
#include "cornelpier/entry/attempt_dispatcher.hpp"
#include "cornelpier/entry/call_table.hpp"
#include "cornelpier/entry/entry_context.hpp"
#include "cornelpier/entry/probe_scheduler.hpp"
#include "cornelpier/entry/quarantine_gate.hpp"
#include "cornelpier/entry/service_table.hpp"
#include "cornelpier/entry/spill_controller.hpp"
#include "cornelpier/entry/target_selector.hpp"
#include "cornelpier/entry/traffic_splitter.hpp"

#include <optional>

namespace cornelpier {

/// Components that the call driver uses; not owned.
struct call_driver_dependencies {
    call_table& calls;
    service_table& services;
    target_selector& selector;
    attempt_dispatcher& dispatcher;
    answer_composer& composer;
    probe_scheduler& probes;
    health_reporter& health;
    quarantine_gate& quarantine;
    spill_controller& spill;
};

/// Drives each call from its arrival to exactly one final answer: decides which attempts are made and when
/// the outcome is settled.
class call_driver {
  public:
    call_driver(entry_context& context, call_driver_dependencies deps);

    void on_call(const call_arrived& event);

    /// Answers all calls with their current outcome.
    void finish_all();

    void on_abandoned(call_id call);

    /// Called by the dispatcher once for each settled attempt.
    void on_settled(call_state& call, const attempt_state& attempt, const attempt_result& result);

  private:
    enum class attempt_kind : std::uint8_t { first, rechoice, retry, hedge };

    /// Answers a call that must not be sent to any target.
    /// @return true if the call was answered.
    bool reject_early(const call_arrived& event);

    /// Service and route of a call. `matched_route` is null if the plan has no routes.
    struct destination {
        const service_plan* service = nullptr;
        const route* matched_route = nullptr;
    };

    /// @return the destination; `service` is null if no known service matches.
    destination find_destination(const call_arrived& event);
    call_state& admit(const call_arrived& event, const destination& resolved);
    [[nodiscard]] static duration call_time_limit(const call_arrived& event, const destination& resolved);
    void start(call_state& call);
    bool begin_attempt(call_state& call, attempt_kind kind);
    /// @return number of attempts that are sent with a wait limit before one is sent without.
    [[nodiscard]] std::uint32_t max_conditional_attempts(const call_state& call);
    std::optional<selection> select(const call_state& call, attempt_kind kind);
    std::optional<attempt_kind> next_kind(call_state& call, const attempt_state& attempt,
                                          const attempt_result& result);
    bool has_time_for_retry(const call_state& call);
    bool try_consume_retry(call_state& call);
    void log_retry_budget_exhausted(const service_id& service, service_state& state);
    void record_result(call_state& call, const attempt_state& attempt, const attempt_result& result);
    void exclude_data_centre(call_state& call, const data_centre_id& data_centre) const;
    void schedule_hedge(call_state& call, service_state& service);
    void on_hedge_due(const request_id& request);
    void on_deadline(const request_id& request);
    void finish(call_state& call, answer_caller answer);
    void log_call_end(const call_state& call, const answer_caller& answer);
    void remove(call_state& call);

    entry_context& m_context;
    call_driver_dependencies m_deps;
    traffic_splitter m_traffic_splitter;
};

} // namespace cornelpier
