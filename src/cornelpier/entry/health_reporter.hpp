#pragma once

#include "cornelpier/entry/call_state.hpp"
#include "cornelpier/entry/entry_context.hpp"
#include "cornelpier/entry/link_set.hpp"
#include "cornelpier/entry/service_table.hpp"
#include "cornelpier/entry/spill_controller.hpp"
#include "cornelpier/health/health_table.hpp"

#include <optional>

namespace cornelpier {

/// Updates the health of targets from answers, timeouts and link losses, and logs its changes.
class health_reporter {
  public:
    health_reporter(entry_context& context, health_table& health, service_table& services,
                    const spill_controller& spill);

    /// Records the owner's final reply to an attempt.
    void on_answer(const call_state& call, const attempt_state& attempt, const run_response& reply);

    /// Records that the deadline passed without a reply from the owner.
    void on_timeout(const call_state& call, const attempt_state& attempt);

    void on_link_lost(const target_id& target, link_loss cause);

    void trial_sent(const target_id& target);

    /// Ends a trial request. No effect if its outcome was already recorded.
    void trial_ended(const target_id& target);

  private:
    void record_outcome(const service_id& service, const target_id& target, health_outcome outcome);
    /// @return the targets of the subset that can take over the requests of this one.
    [[nodiscard]] std::vector<target_id> ejection_peers(const service_state& service,
                                                        const target_id& target) const;
    std::optional<health_outcome> classify(const call_state& call, const run_response& reply);

    entry_context& m_context;
    health_table& m_health;
    service_table& m_services;
    const spill_controller& m_spill;
};

} // namespace cornelpier
