#pragma once

#include "cornelpier/entry/call_state.hpp"
#include "cornelpier/entry/entry_context.hpp"
#include "cornelpier/entry/link_set.hpp"
#include "cornelpier/entry/service_table.hpp"
#include "cornelpier/health/health_table.hpp"

#include <optional>

namespace cornelpier {

/// Judges what answers and losses say about the health of targets.
class health_reporter {
  public:
    health_reporter(entry_context& context, health_table& health, service_table& services);

    /// Notes the owner's final reply on an attempt.
    void on_answer(const call_state& call, const attempt_state& attempt, const run_response& reply);

    /// Notes that the deadline passed without a reply of the owner.
    void on_timeout(const call_state& call, const attempt_state& attempt);

    /// Notes the loss of a link.
    void on_link_lost(const target_id& target, link_loss cause);

    /// Notes that a trial request was sent.
    void trial_sent(const target_id& target);

    /// Notes that a trial request ended; without effect if its outcome was noted.
    void trial_ended(const target_id& target);

  private:
    void record_outcome(const service_id& service, const target_id& target, health_outcome outcome);
    std::optional<health_outcome> classify(const call_state& call, const run_response& reply);

    entry_context& m_context;
    health_table& m_health;
    service_table& m_services;
};

} // namespace cornelpier
