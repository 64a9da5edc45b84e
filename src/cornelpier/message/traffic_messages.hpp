#pragma once

#include "cornelpier/base/ids.hpp"
#include "cornelpier/base/units.hpp"
#include "cornelpier/base/verdict.hpp"
#include "cornelpier/message/http_fields.hpp"
#include "cornelpier/plan/plan.hpp"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace cornelpier {

/// Identity of one try of a request at one owner.
struct attempt_id {
    request_id request;
    std::uint32_t number = 0;

    friend bool operator==(const attempt_id&, const attempt_id&) = default;

    /// @copydoc strong_id::operator<=>
    friend std::strong_ordering operator<=>(const attempt_id& left, const attempt_id& right) {
        const std::strong_ordering order = left.request <=> right.request;
        return std::is_eq(order) ? left.number <=> right.number : order;
    }
};

/// Leave to send non-idempotent runs to an owner. Only the owner judges whether it is still valid.
struct run_permit {
    incarnation owner;
    time_point expires_at; ///< On the owner's clock.

    friend bool operator==(const run_permit&, const run_permit&) = default;
};

/// Whether a node takes new work.
enum class node_state : std::uint8_t { starting, serving, draining, stopped };

/// Load of a target as its owner knows it when it sends.
struct load_reading {
    target_id target;
    std::uint32_t in_flight = 0; ///< Runs at the server.
    std::uint32_t queued = 0;    ///< Runs that wait at the owner.
    std::uint32_t limit = 1;     ///< Current concurrency limit.
    duration service_time{};  ///< Larger of the average of completed runs and the mean age of current ones.
    duration expected_wait{}; ///< Time a new run would wait before it reaches the server.
    duration uptime{};        ///< Time since the server began to serve; for slow start.
    node_state state = node_state::serving;
    run_permit permit;
    std::uint64_t sequence = 0; ///< Grows with each reading of an incarnation; orders late readings.
    std::uint32_t slowness_percent = 100; ///< Time that work takes at the server, 100 as usual.
};

/// First message on a link, in both directions.
struct hello {
    target_id from;
    incarnation process;
    data_centre_id data_centre;
    std::uint64_t plan_version = 0;
};

/// Asks the owner for a reading. Answered from memory if the measuring budget allows, else not at all.
struct probe {};

/// Asks the owner for a permit; not a measurement. Always answered with `permit_grant`.
struct permit_request {};

/// Answer to `permit_request`.
struct permit_grant {
    run_permit permit;
};

/// Asks the owner to run a request on its server.
struct run_request {
    attempt_id attempt;
    service_id service;
    http_request request;
    bool idempotent = false;
    request_class priority = request_class::order;
    std::optional<run_permit> permit;   ///< Required unless idempotent.
    std::optional<std::string> key;     ///< Idempotency-Key of the caller.
    std::optional<duration> wait_limit; ///< Refuse if the expected wait is longer; nothing: may queue.
    duration remaining{};               ///< Time left until the deadline when the message was sent.
    std::uint32_t depth = 0;            ///< Nesting of calls, 1 for a call from outside.
    bool outer_retry = false;           ///< An outer call is itself a retry.
    std::uint64_t plan_version = 0;
    std::string instance; ///< Server process that the entry means; empty: whichever stands there.
    std::string route;    ///< Route of the request; empty if the plan has none.
    duration objective{}; ///< Time left to answer within the route's objective; may be negative.
};

/// Why an owner refused a run.
enum class refusal : std::uint8_t {
    none,
    wait_limit, ///< The expected wait is above the run's limit; another target is better.
    overloaded, ///< The queue is full or the run was shed.
    deadline,   ///< The deadline cannot be met.
    draining,
    no_permit, ///< The permit is missing, expired or of another incarnation.
    ledger_full,
    duplicate,      ///< This attempt was refused or asked for before.
    server_refused, ///< The server answered with a refusal status.
    server_down,    ///< No connection to the server could be made.
    cancelled,      ///< Cancelled before it reached the server.
    unknown_service,
    key_conflict, ///< The key was used with another request.
    key_unproved, ///< It cannot be proved that the key is new.
    key_running,  ///< The first request with this key is still running.
    not_home,     ///< By the owner's plan another target is the home of the key.
};

/// The owner's final answer to an attempt.
struct run_response {
    attempt_id attempt;
    verdict outcome = verdict::unknown;
    refusal reason = refusal::none;
    std::optional<http_response> response; ///< The server's complete answer, if there is one.
    duration retry_after{};                ///< Zero: no advice.
    duration service_time{};               ///< Time between hand-over to the server and its answer.
    std::optional<load_reading> load;
};

/// Tells the owner that the answer is no longer wanted.
struct cancel_attempt {
    attempt_id attempt;
};

/// Asks what became of an attempt. Records an attempt that was never seen as refused.
struct fate_query {
    attempt_id attempt;
    std::optional<run_permit> permit; ///< As sent with the run.
};

/// What became of an attempt.
enum class fate_outcome : std::uint8_t { ran, refused, running, unknown };

/// Answer to `fate_query`. For `ran` the stored answer, as far as it was kept, goes ahead as `run_response`.
struct fate_reply {
    attempt_id attempt;
    fate_outcome outcome = fate_outcome::unknown;
    std::optional<load_reading> load;
};

/// Shows that a link is alive.
struct ping {};

/// Answer to `ping`.
struct pong {};

using traffic_message = std::variant<hello, load_reading, probe, permit_request, permit_grant, run_request,
                                     run_response, cancel_attempt, fate_query, fate_reply, ping, pong>;

} // namespace cornelpier

template <>
struct std::hash<cornelpier::attempt_id> {
    std::size_t operator()(const cornelpier::attempt_id& id) const noexcept {
        return std::hash<cornelpier::request_id>{}(id.request) * 31 + id.number;
    }
};
