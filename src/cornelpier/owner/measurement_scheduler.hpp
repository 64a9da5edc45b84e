#pragma once

#include "cornelpier/admission/measuring_budget.hpp"
#include "cornelpier/owner/owner_state.hpp"

namespace cornelpier {

/// Divides the measuring budget between periodic reads of the server's report and answers to probes.
class measurement_scheduler {
  public:
    /// @param state must outlive the object.
    explicit measurement_scheduler(owner_state& state)
        : m_state(state), m_budget(state.now()), m_probe_budget(state.now()) {}

    /// Applies the measuring budget of the plan.
    void set_rate(rate limit);

    /// Consumes one measurement for a probe.
    /// @return false if the budget does not allow it; the probe then gets no answer.
    bool admit_probe();

    /// Requests the server's report at once.
    /// @return false if the budget is exhausted or the plan has no service for this target.
    bool try_request_report();

    [[nodiscard]] std::size_t taken_last_second() const { return m_budget.taken_last_second(m_state.now()); }

  private:
    [[nodiscard]] bool probe_within_budget() const;
    void read_periodic_report();
    void request_report();
    void schedule_report(time_point due);

    owner_state& m_state;
    measuring_budget m_budget;
    measuring_budget m_probe_budget; ///< The part of `m_budget` that probes may use.
    double m_per_second = 0;
    duration m_report_period{};
    bool m_report_awaits_budget = false; ///< A report is due; probes get no budget until it is read.
    std::optional<time_point> m_last_report_at;
    scoped_timer m_report_timer;
};

} // namespace cornelpier
