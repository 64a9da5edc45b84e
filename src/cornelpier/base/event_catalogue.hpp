#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace cornelpier {

/// Number of a log event. Numbers are never reused and are grouped by subsystem: 100 lifecycle, drain and
/// pause; 200 plan; 300 membership and VM list; 400 entry, routing, health and retry; 500 owner, admission
/// and execution; 600 links and servers; 700 settings and operator interface.
enum class event_number : std::uint16_t {
    node_started = 100,
    node_serving = 101,
    drain_started = 102,
    drain_cancelled = 103,
    node_stopped = 104,
    pause_detected = 105,
    stop_requested = 106,
    process_ended = 107,
    handler_failed = 108,
    plan_accepted = 200,
    plan_refused_older = 201,
    plan_refused_conflict = 202,
    plan_refused_invalid = 203,
    plan_refused_too_large = 204,
    configuration_unreachable = 205,
    configuration_regained = 206,
    configuration_restored = 207,
    member_joined = 300,
    member_restarted = 301,
    vm_leaving = 302,
    vm_list_unreachable = 303,
    directory_changed = 304,
    directory_entry_refused = 305,
    reader_role_changed = 306,
    directory_published = 307,
    directory_unconfirmed = 308,
    directory_confirmed = 309,
    directory_response_ignored = 310,
    directory_entries_missing = 311,
    evacuation_changed = 312,
    evacuation_refused = 313,
    directory_update_delayed = 314,
    directory_update_large = 315,
    directory_change_without_base = 316,
    directory_state_sent = 317,
    directory_guest_refused = 318,
    target_ejected = 400,
    target_trial = 401,
    target_recovered = 402,
    answer_discarded = 403,
    retry_budget_exhausted = 404,
    verdict_unknown = 405,
    call_failed = 406,
    call_late = 407,
    request_quarantined = 408,
    quarantined_request_rejected = 409,
    quarantine_lifted = 410,
    calls_spilled = 411,
    run_refused = 500,
    duplicate_run_refused = 501,
    measuring_budget_exhausted = 502,
    ledger_full = 503,
    run_ended = 504,
    link_silent = 600,
    link_lost = 601,
    server_unreachable = 602,
    server_draining = 603,
    bad_request = 604,
    server_instance_seen = 605,
    server_rate_limit_changed = 606,
    server_advice_malformed = 607,
    server_leaving = 608,
    server_crashed = 609,
    link_message_malformed = 610,
    link_queue_full = 611,
    gossip_malformed = 612,
    warm_up_value_refused = 613,
    server_warm_up = 614,
    link_assembly_full = 620,
    link_message_incomplete = 621,
    memory_budget_exhausted = 630,
    memory_budget_recovered = 631,
    caller_without_progress = 632,
    settings_invalid = 700,
    settings_reloaded = 701,
};

enum class severity : std::uint8_t { debug, info, warning, error };

/// Static properties of a log event.
struct event_description {
    event_number number;
    severity level;
    std::string_view name; ///< Stable identifier in snake case, equal to the enumerator.
    std::string_view text; ///< Description in one sentence.
};

/// @return all events, in ascending order of their numbers.
std::span<const event_description> event_catalogue();

const event_description& describe(event_number number);

/// @return `debug`, `info`, `warning` or `error`.
std::string_view to_string(severity level);

} // namespace cornelpier
