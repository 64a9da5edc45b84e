#include "cornelpier/health/target_health.hpp"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>

namespace cornelpier {

namespace {

namespace msm = boost::msm;
using msm::front::Row;

constexpr std::uint32_t max_consecutive_failures = 5;
constexpr std::uint32_t max_consecutive_fast_failures = 3; // A target that fails fast attracts traffic.
constexpr double max_failure_rate = 0.5;
constexpr std::uint32_t min_samples = 20;
constexpr double failure_rate_smoothing = 0.1;
constexpr duration failure_rate_decay_time = std::chrono::seconds{1};
constexpr duration initial_ejection_time = std::chrono::seconds{1};
constexpr duration max_ejection_time = std::chrono::seconds{30};
constexpr duration backoff_reset_time = std::chrono::seconds{60};

// Events of the state machine.
struct failures_exceeded {};
struct ejection_over {};
struct trial_passed {};
struct trial_failed {};

struct healthy : msm::front::state<> {};
struct ejected : msm::front::state<> {};
struct trial : msm::front::state<> {};

struct ejection_machine : msm::front::state_machine_def<ejection_machine> {
    using initial_state = healthy;
    using none = msm::front::none;

    // clang-format off
    struct transition_table : boost::mpl::vector<
        Row<healthy, failures_exceeded, ejected, none, none>,
        Row<ejected, ejection_over,     trial,   none, none>,
        Row<trial,   trial_passed,      healthy, none, none>,
        Row<trial,   trial_failed,      ejected, none, none>> {};
    // clang-format on

    template <typename Machine, typename Event>
    void no_transition(const Event& /*event*/, Machine& /*machine*/, int /*state*/) {}
};

} // namespace

class target_health::machine {
  public:
    machine() { m_states.start(); }

    void on_outcome(health_outcome outcome, bool may_eject, time_point now) {
        if (state() == health_state::trial) {
            finish_trial(outcome, now);
            return;
        }
        if (state() == health_state::ejected) {
            return;
        }
        record(outcome, now);
        if (may_eject && exceeds_limits()) {
            m_states.process_event(failures_exceeded{});
            eject(now);
        }
    }

    void update(time_point now) {
        if (state() == health_state::ejected && now >= m_ejected_until) {
            m_states.process_event(ejection_over{});
            trial_in_progress = false;
        }
    }

    [[nodiscard]] health_state state() const {
        return static_cast<health_state>(m_states.current_state()[0]);
    }

    bool trial_in_progress = false;
    std::optional<time_point> recovered_at;

    [[nodiscard]] double failure_rate(time_point now) const {
        return m_failure_rate *
               std::exp(-to_seconds(now - m_last_outcome_at) / to_seconds(failure_rate_decay_time));
    }

  private:
    void record(health_outcome outcome, time_point now) {
        const bool failed = outcome != health_outcome::success;
        m_samples = std::min(m_samples + 1, min_samples);
        m_failure_rate += ((failed ? 1.0 : 0.0) - m_failure_rate) * failure_rate_smoothing;
        m_last_outcome_at = now;
        m_consecutive_failures = failed ? m_consecutive_failures + 1 : 0;
        m_consecutive_fast_failures =
            outcome == health_outcome::fast_failure ? m_consecutive_fast_failures + 1 : 0;
    }

    [[nodiscard]] bool exceeds_limits() const {
        return m_consecutive_failures >= max_consecutive_failures ||
               m_consecutive_fast_failures >= max_consecutive_fast_failures ||
               (m_samples >= min_samples && m_failure_rate > max_failure_rate);
    }

    void finish_trial(health_outcome outcome, time_point now) {
        trial_in_progress = false;
        if (outcome != health_outcome::success) {
            m_states.process_event(trial_failed{});
            eject(now);
            return;
        }
        m_states.process_event(trial_passed{});
        recovered_at = now;
        reset_counts();
    }

    /// Doubles the ejection time with each ejection, up to a maximum; resets it after a long healthy period.
    void eject(time_point now) {
        const bool resets_backoff =
            recovered_at && now - *recovered_at > backoff_reset_time && stayed_healthy();
        m_ejection_time = resets_backoff || m_ejection_time == duration::zero()
                              ? initial_ejection_time
                              : std::min(m_ejection_time * 2, max_ejection_time);
        m_ejected_until = now + m_ejection_time;
        reset_counts();
    }

    [[nodiscard]] bool stayed_healthy() const { return recovered_at >= m_ejected_until; }

    void reset_counts() {
        m_consecutive_failures = 0;
        m_consecutive_fast_failures = 0;
        m_samples = 0;
        m_failure_rate = 0;
    }

    // State numbers follow the order in which the transition table first names the states, as in
    // health_state.
    msm::back::state_machine<ejection_machine> m_states;
    double m_failure_rate = 0;
    time_point m_last_outcome_at;
    std::uint32_t m_consecutive_failures = 0;
    std::uint32_t m_consecutive_fast_failures = 0;
    std::uint32_t m_samples = 0;
    duration m_ejection_time{};
    time_point m_ejected_until;
};

target_health::target_health() : m_machine(std::make_unique<machine>()) {}
target_health::~target_health() = default;
target_health::target_health(target_health&&) noexcept = default;
target_health& target_health::operator=(target_health&&) noexcept = default;

void target_health::on_outcome(health_outcome outcome, bool may_eject, time_point now) {
    m_machine->on_outcome(outcome, may_eject, now);
}

void target_health::update(time_point now) {
    m_machine->update(now);
}

health_state target_health::state() const {
    return m_machine->state();
}

bool target_health::needs_trial() const {
    return state() == health_state::trial && !m_machine->trial_in_progress;
}

void target_health::trial_sent() {
    m_machine->trial_in_progress = true;
}

void target_health::trial_abandoned() {
    m_machine->trial_in_progress = false;
}

std::optional<time_point> target_health::recovered_at() const {
    return m_machine->recovered_at;
}

double target_health::failure_rate(time_point now) const {
    return m_machine->failure_rate(now);
}

} // namespace cornelpier
