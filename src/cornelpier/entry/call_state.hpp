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

/// Progress of an attempt.
enum class attempt_phase : std::uint8_t {
    waiting, ///< Not sent yet; waits for a link or a permit.
    sent,
    querying_fate, ///< The link was lost after sending; the owner is asked for the outcome.
    settled,       ///< Its outcome is final for this entry.
};

/// How an attempt ended.
enum class attempt_end : std::uint8_t {
    answered,     ///< The owner gave its final reply.
    not_sent,     ///< The target could not be reached.
    lost,         ///< The link was lost after sending.
    fate_refused, ///< By a fate query: the owner refused it or never got it.
    fate_ran,     ///< By a fate query: it ran, but its answer is lost.
    fate_unknown, ///< By a fate query: the owner cannot tell.
    given_up,     ///< The call ended before the attempt did.
};

/// One attempt of a call at one target.
struct attempt_state {
    attempt_id id;
    target_id target;
    data_centre_id data_centre; ///< Of the target.
    attempt_phase phase = attempt_phase::waiting;
    incarnation owner_incarnation;    ///< Owner process it was sent to; 0 if unknown.
    std::optional<run_permit> permit; ///< Permit sent with the run.
    std::optional<duration> wait_limit;
    time_point sent_at;
    bool hedge = false;
    bool outer_retry = false;
    bool trial = false;    ///< Trial request to an ejected target.
    bool confined = false; ///< The request is suspected; its owner runs it beside no other suspect.
    bool spilled = false;  ///< Sent to a far data centre although the own one has usable targets.
    verdict outcome = verdict::unknown;
    std::uint32_t failed_link_opens = 0;
    attempt_end end = attempt_end::given_up; ///< For the log.
    refusal reason = refusal::none;          ///< Given by the owner; for the log and the choice of targets.
    time_point started_at;
    time_point ended_at;

    /// @return false only if it is settled and proved not run.
    [[nodiscard]] bool may_have_run() const {
        return phase != attempt_phase::settled || outcome != verdict::not_run;
    }
};

/// Result of a settled attempt.
struct attempt_result {
    attempt_end end = attempt_end::given_up;
    verdict outcome = verdict::unknown;
    refusal reason = refusal::none;
    std::optional<http_response> response;
    duration retry_after{};
};

/// State of a call between its arrival and its final answer.
struct call_state {
    call_arrived event;
    std::uint64_t sequence = 0; ///< Part of the request id.
    time_point arrived_at;
    time_point deadline;
    bool idempotent = false;
    request_class priority = request_class::order;
    std::string route;                                                  ///< Empty if the plan has no routes.
    duration objective{};                                               ///< Of the route.
    std::uint32_t max_runs = std::numeric_limits<std::uint32_t>::max(); ///< Limit of `possible_runs()`.
    std::vector<attempt_state> attempts;
    bool is_suspected = false;                     ///< An owner stated that the request is suspected.
    std::vector<target_id> excluded_targets;       ///< Would refuse this call again.
    std::uint32_t unbudgeted_attempts = 0;         ///< Attempts other than hedges and budgeted retries.
    std::uint32_t retries = 0;                     ///< Retries paid from the retry budget.
    std::optional<attempt_result> last_result;     ///< Of the most recently settled attempt.
    std::optional<duration> earliest_retry;        ///< Least retry time that an owner gave with a refusal.
    std::optional<http_response> failure_response; ///< Of a failed server; sent if no attempt succeeds.
    timer_service::timer_id deadline_timer = 0;
    timer_service::timer_id hedge_timer = 0;

    /// @return true if the request has an idempotency key that restricts it to the home target of the key.
    [[nodiscard]] bool is_keyed() const { return event.key.has_value() && !idempotent; }

    /// @return the attempt with this number, or nullptr.
    [[nodiscard]] attempt_state* find(std::uint32_t number);

    /// @return number of attempts that ran or may still run.
    [[nodiscard]] std::uint32_t possible_runs() const;

    /// @return true if any attempt is not settled.
    [[nodiscard]] bool has_open_attempt() const;

    /// @return `ran` if any attempt ran, `not_run` if all attempts are proved not run, otherwise `unknown`.
    [[nodiscard]] verdict outcome() const;

    /// @return the attempt that the caller's token refers to: the last one that may have run, otherwise the
    /// last one; nullptr without attempts.
    [[nodiscard]] const attempt_state* token_attempt() const;
};

} // namespace cornelpier
