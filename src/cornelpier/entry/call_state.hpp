#pragma once

#include "cornelpier/base/verdict.hpp"
#include "cornelpier/message/traffic_messages.hpp"
#include "cornelpier/node/traffic_events.hpp"
#include "cornelpier/timer/timer_service.hpp"

#include <cstdint>
#include <limits>
#include <optional>
#include <vector>

namespace cornelpier {

/// How far an attempt got.
enum class attempt_phase : std::uint8_t {
    waiting, ///< Not sent; needs a link or a permit.
    sent,
    querying_fate, ///< Its link was lost; the owner is asked what became of it.
    settled,       ///< Its verdict is final as far as this entry is concerned.
};

/// How an attempt was settled.
enum class attempt_end : std::uint8_t {
    answered, ///< The owner gave its final reply.
    not_sent, ///< The target could not be reached.
    lost,     ///< The link was lost after it was sent.
    fate_refused,
    fate_ran, ///< It ran, but its answer is lost.
    fate_unknown,
    given_up, ///< The call ended first.
};

/// Try of a call at one target.
struct attempt_state {
    attempt_id id;
    target_id target;
    data_centre_id data_centre; ///< Of the target.
    attempt_phase phase = attempt_phase::waiting;
    incarnation owner_incarnation;    ///< Of the process that got it; 0 if not known.
    std::optional<run_permit> permit; ///< As sent.
    std::optional<duration> wait_limit;
    time_point sent_at;
    bool hedge = false;
    bool outer_retry = false;
    bool trial = false; ///< The trial request of an ejected target.
    verdict outcome = verdict::unknown;
    std::uint32_t failed_link_opens = 0;
    attempt_end end = attempt_end::given_up; ///< How it was settled; for the log.
    refusal reason = refusal::none;          ///< Of the owner; for the log.
    time_point started_at;
    time_point ended_at;

    /// @return whether it ran or may still run.
    [[nodiscard]] bool may_have_run() const {
        return phase != attempt_phase::settled || outcome != verdict::not_run;
    }
};

/// What is known about an attempt once it is settled.
struct attempt_result {
    attempt_end end = attempt_end::given_up;
    verdict outcome = verdict::unknown;
    refusal reason = refusal::none;
    std::optional<http_response> response;
    duration retry_after{};
};

/// Call of a caller from its arrival to the final answer.
struct call_state {
    call_arrived event;
    std::uint64_t sequence = 0; ///< Of the request id.
    time_point arrived_at;
    time_point deadline;
    bool idempotent = false;
    request_class priority = request_class::order;
    std::string route;                                                  ///< Empty if the plan has none.
    duration objective{};                                               ///< Of the route.
    std::uint32_t max_runs = std::numeric_limits<std::uint32_t>::max(); ///< Servers that it may reach.
    std::vector<attempt_state> attempts;
    std::vector<target_id> excluded_targets;   ///< Targets that refused for a reason that will not pass soon.
    std::uint32_t unbudgeted_attempts = 0;     ///< Attempts but for hedges and retries from the budget.
    std::uint32_t retries = 0;                 ///< Retries taken from the budget.
    std::optional<attempt_result> last_result; ///< Of the attempt settled last.
    std::optional<http_response>
        failure_response; ///< Of a server that failed; passed on if nothing better comes.
    timer_service::timer_id deadline_timer = 0;
    timer_service::timer_id hedge_timer = 0;

    /// @return true if the request may go to one target only.
    [[nodiscard]] bool is_keyed() const { return event.key.has_value() && !idempotent; }

    /// @return the attempt with that number, or nullptr.
    [[nodiscard]] attempt_state* find(std::uint32_t number);

    /// @return attempts that ran or may still run.
    [[nodiscard]] std::uint32_t possible_runs() const;

    /// @return true if an attempt is not settled.
    [[nodiscard]] bool has_open_attempt() const;

    /// @return `not_run` if every attempt is proved not run, `ran` if one ran, else `unknown`.
    [[nodiscard]] verdict outcome() const;

    /// @return the last attempt that is not proved not run, else the last one; nullptr without attempts.
    [[nodiscard]] const attempt_state* token_attempt() const;
};

} // namespace cornelpier
