#pragma once

#include "cornelpier/base/ids.hpp"
#include "cornelpier/base/units.hpp"
#include "cornelpier/base/verdict.hpp"
#include "cornelpier/message/http_fields.hpp"
#include "cornelpier/plan/plan.hpp"
#include "cornelpier/quarantine/request_fingerprint.hpp"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cornelpier {

/// Identifies one attempt to run a request at one owner.
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

/// Time-limited token without which an owner refuses non-idempotent runs. Only the owner checks its validity.
struct run_permit {
    incarnation owner;
    time_point expires_at; ///< On the owner's clock.

    friend bool operator==(const run_permit&, const run_permit&) = default;
};

/// Lifecycle state of a node; only a serving node accepts new runs.
enum class node_state : std::uint8_t { starting, serving, draining, stopped };

/// Load of a target, measured by its owner when it sends the message.
struct load_reading {
    target_id target;
    std::uint32_t in_flight = 0; ///< Runs in progress at the server.
    std::uint32_t queued = 0;    ///< Runs that wait in the owner's queue.
    std::uint32_t limit = 1;     ///< Current concurrency limit.
    /// Maximum of the average over completed runs and the mean age of those in progress.
    duration service_time{};
    duration expected_wait{}; ///< Estimated queueing time of a new run.
    duration uptime{};        ///< Time since the server began to serve; input of slow start.
    node_state state = node_state::serving;
    run_permit permit;
    /// Increases with each reading of an incarnation, so that late ones are detected.
    std::uint64_t sequence = 0;
    std::uint32_t slowness_percent = 100; ///< Current service time relative to the usual one; 100 is normal.
    std::optional<rate> rate_limit; ///< Requests that the server accepts from all entries; unset: no limit.
    bool server_leaving = false;    ///< The server said in its last response that it leaves.
    bool advice_known = false;      ///< Otherwise the owner does not know the two fields above.
};

/// First message that each side sends on a link.
struct hello {
    target_id from;
    incarnation process;
    data_centre_id data_centre;
    std::uint64_t plan_version = 0;
};

/// Requests a load reading. The owner replies without contacting its server, and only while the measuring
/// budget allows it; otherwise it sends no reply.
struct probe {};

/// Requests a permit. Always answered with `permit_grant`; does not count against the measuring budget.
struct permit_request {};

/// Reply to `permit_request`.
struct permit_grant {
    run_permit permit;
};

/// Requests the owner to forward an HTTP request to its server.
struct run_request {
    attempt_id attempt;
    service_id service;
    http_request request;
    bool idempotent = false;
    request_class priority = request_class::order;
    std::optional<run_permit> permit; ///< Required for non-idempotent requests.
    std::optional<std::string> key;   ///< Value of the caller's Idempotency-Key header.
    /// The owner refuses the run if the expected wait is longer. Unset: the run may queue.
    std::optional<duration> wait_limit;
    duration remaining{};     ///< Time until the deadline, at the time of sending.
    std::uint32_t depth = 0;  ///< Nesting depth of the call; 1 for a call from outside the deployment.
    bool outer_retry = false; ///< The call is nested in one that is itself a retry.
    std::uint64_t plan_version = 0;
    std::string instance; ///< Server process that the run is meant for; empty: any at the address.
    std::string route;    ///< Name of the request's route; empty if the plan has no routes.
    duration objective{}; ///< Time left of the route's latency objective; may be negative.
    /// Rate limit of the server in the last reading that the entry got. An owner that has restarted keeps to
    /// it until the server's first response.
    std::optional<rate> rate_limit;
    bool confined = false; ///< The entry chose the target knowing that the request is suspected.
    bool spilled = false;  ///< The entry's data centre is far away and has usable targets of its own.
};

/// Reason for which an owner refused a run.
enum class refusal : std::uint8_t {
    none,
    wait_limit, ///< The expected wait exceeds the run's limit; the entry may try another target.
    overloaded, ///< The queue is full, or the run was shed from it.
    deadline,   ///< The run cannot finish before its deadline.
    draining,
    no_permit, ///< The permit is missing, expired or issued by another incarnation.
    ledger_full,
    duplicate,      ///< The attempt was already received, or recorded as refused by a fate query.
    server_refused, ///< The server answered with one of the service's refusal statuses.
    server_down,    ///< The connection to the server failed.
    cancelled,      ///< The run was cancelled before it was sent to the server.
    unknown_service,
    key_conflict, ///< The idempotency key was used with a different request.
    key_unproved, ///< The owner cannot prove that the key was not used before.
    key_running,  ///< The first request with this key is still in progress.
    not_home,     ///< The owner's plan assigns the key to another target.
    rate_limited, ///< The server's rate limit does not allow the run to start in time.
    quarantined,  ///< Requests like this one ended servers.
    suspected,    ///< Requests like this one may have ended a server; the entry did not know that.
    evacuated,    ///< The data centre is evacuated; the entry did not know that.
};

/// Final result of an attempt, sent by the owner.
struct run_response {
    attempt_id attempt;
    verdict outcome = verdict::unknown;
    refusal reason = refusal::none;
    std::optional<http_response> response; ///< The server's complete response, if there is one.
    duration retry_after{};                ///< Time after which the caller may retry; zero: not specified.
    duration service_time{}; ///< Time between sending the request to the server and its response.
    std::optional<load_reading> load;
};

/// Cancels an attempt whose response is no longer needed.
struct cancel_attempt {
    attempt_id attempt;
};

/// Queries the outcome of an attempt. An attempt that the owner has not seen is recorded as refused, so that
/// a late copy of it does not run.
struct fate_query {
    attempt_id attempt;
    std::optional<run_permit> permit; ///< Permit that the run was sent with.
};

/// Outcome of an attempt as far as the owner knows it.
enum class fate_outcome : std::uint8_t { ran, refused, running, unknown };

/// Reply to `fate_query`. For `ran`, the stored part of the response is sent before it as a `run_response`.
struct fate_reply {
    attempt_id attempt;
    fate_outcome outcome = fate_outcome::unknown;
    std::optional<load_reading> load;
};

/// Checks that a link is alive.
struct ping {};

/// Reply to `ping`.
struct pong {};

/// Identifies the end of a server process that its owner noticed.
struct crash_id {
    incarnation owner;
    std::uint64_t number = 0; ///< Counts the ends that this owner noticed.

    friend bool operator==(const crash_id&, const crash_id&) = default;
};

/// What a node knows about a request that was in progress when servers ended.
struct suspect_notice {
    request_fingerprint fingerprint;
    std::vector<crash_id> crashes; ///< Ends at which it was in progress.
    duration quarantine_left{};    ///< Zero: it is only suspected.
    duration quarantine_length{};  ///< Of the last quarantine; zero: there was none.
    bool cleared = false;          ///< A run of it ended well after these ends.
};

/// Sent by an owner to the entries and passed on by them to the other owners of the service.
struct suspect_update {
    service_id service;
    std::vector<suspect_notice> suspects;
};

using traffic_message =
    std::variant<hello, load_reading, probe, permit_request, permit_grant, run_request, run_response,
                 cancel_attempt, fate_query, fate_reply, ping, pong, suspect_update>;

} // namespace cornelpier

template <>
struct std::hash<cornelpier::attempt_id> {
    std::size_t operator()(const cornelpier::attempt_id& id) const noexcept {
        return std::hash<cornelpier::request_id>{}(id.request) * 31 + id.number;
    }
};
