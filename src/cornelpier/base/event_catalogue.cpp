#include "cornelpier/base/event_catalogue.hpp"

#include <algorithm>
#include <array>

namespace cornelpier {

namespace {

using enum event_number;

constexpr std::array catalogue{
    event_description{node_started, severity::info, "node_started", "The node process started."},
    event_description{node_serving, severity::info, "node_serving", "The node accepts new work."},
    event_description{drain_started, severity::info, "drain_started",
                      "The node started to drain and refuses new runs."},
    event_description{drain_cancelled, severity::info, "drain_cancelled",
                      "All reasons to drain are gone; the node accepts new runs again."},
    event_description{node_stopped, severity::info, "node_stopped", "The node stopped."},
    event_description{pause_detected, severity::warning, "pause_detected",
                      "The process was paused; load readings and permits were discarded."},
    event_description{stop_requested, severity::info, "stop_requested",
                      "The process received a signal to stop."},
    event_description{process_ended, severity::info, "process_ended", "The process is about to exit."},
    event_description{handler_failed, severity::error, "handler_failed",
                      "An event handler failed with an unexpected exception; the process continues."},
    event_description{plan_accepted, severity::info, "plan_accepted", "A new plan came into force."},
    event_description{plan_refused_older, severity::warning, "plan_refused_older",
                      "A plan with a lower version than the one in force was refused."},
    event_description{plan_refused_conflict, severity::error, "plan_refused_conflict",
                      "A plan with the version in force but different content was refused."},
    event_description{plan_refused_invalid, severity::error, "plan_refused_invalid",
                      "A plan that failed validation was refused."},
    event_description{plan_refused_too_large, severity::error, "plan_refused_too_large",
                      "A plan that exceeds the size limit was refused."},
    event_description{configuration_unreachable, severity::warning, "configuration_unreachable",
                      "The configuration service did not respond."},
    event_description{configuration_regained, severity::info, "configuration_regained",
                      "The configuration service responds again."},
    event_description{configuration_restored, severity::warning, "configuration_restored",
                      "The configuration service returned from an older copy and may have lost changes."},
    event_description{member_joined, severity::info, "member_joined", "A node was seen for the first time."},
    event_description{member_restarted, severity::info, "member_restarted",
                      "A node restarted with a new incarnation."},
    event_description{vm_leaving, severity::info, "vm_leaving", "The VM list marks a VM as leaving."},
    event_description{vm_list_unreachable, severity::warning, "vm_list_unreachable",
                      "The VM list could not be read."},
    event_description{directory_changed, severity::info, "directory_changed",
                      "A target was added, was removed or changed its state."},
    event_description{directory_entry_refused, severity::warning, "directory_entry_refused",
                      "An entry of the target directory does not describe a usable target."},
    event_description{
        reader_role_changed, severity::info, "reader_role_changed",
        "The node became or ceased to be the reader or a relay, or another node became the reader."},
    event_description{directory_published, severity::info, "directory_published",
                      "Changes of the targets or the plan were put in force."},
    event_description{directory_unconfirmed, severity::info, "directory_unconfirmed",
                      "An update from another node does not match the state of this node."},
    event_description{directory_confirmed, severity::info, "directory_confirmed",
                      "The state of this node matches the source of the fleet again."},
    event_description{directory_response_ignored, severity::info, "directory_response_ignored",
                      "A response of the configuration service is older than the state of this node."},
    event_description{directory_entries_missing, severity::info, "directory_entries_missing",
                      "Entries that disappeared around an outage are kept until they are registered again."},
    event_description{evacuation_changed, severity::warning, "evacuation_changed",
                      "The evacuation of a data centre came into force at this node, or ended."},
    event_description{evacuation_refused, severity::warning, "evacuation_refused",
                      "A request to evacuate a data centre was refused."},
    event_description{target_ejected, severity::warning, "target_ejected",
                      "A target was ejected and receives no requests."},
    event_description{target_trial, severity::info, "target_trial",
                      "An ejected target receives a trial request."},
    event_description{target_recovered, severity::info, "target_recovered",
                      "An ejected target passed its trial request and receives requests again."},
    event_description{answer_discarded, severity::debug, "answer_discarded",
                      "A late or duplicate response was discarded."},
    event_description{retry_budget_exhausted, severity::warning, "retry_budget_exhausted",
                      "A request was not retried because the retry budget of its service was exhausted."},
    event_description{verdict_unknown, severity::warning, "verdict_unknown",
                      "A caller received the verdict unknown for its request."},
    event_description{call_failed, severity::info, "call_failed",
                      "A call failed; the fields list its attempts and their results."},
    event_description{
        call_late, severity::debug, "call_late",
        "A call succeeded later than its objective; the fields list its attempts and their results."},
    event_description{request_quarantined, severity::error, "request_quarantined",
                      "Requests with this content ended servers and are not run for a while."},
    event_description{quarantined_request_rejected, severity::info, "quarantined_request_rejected",
                      "A request was rejected because its content is in quarantine."},
    event_description{quarantine_lifted, severity::info, "quarantine_lifted",
                      "A quarantine ended early because a run of the request ended well."},
    event_description{calls_spilled, severity::info, "calls_spilled",
                      "Calls were offered to a far data centre; the fields hold the share that may leave."},
    event_description{run_refused, severity::debug, "run_refused", "The owner refused a run."},
    event_description{duplicate_run_refused, severity::info, "duplicate_run_refused",
                      "A duplicate of a request was not run."},
    event_description{measuring_budget_exhausted, severity::debug, "measuring_budget_exhausted",
                      "A measurement was skipped because the measuring budget was exhausted."},
    event_description{ledger_full, severity::error, "ledger_full",
                      "A non-idempotent run was refused because the ledger was full."},
    event_description{run_ended, severity::debug, "run_ended",
                      "The server answered a run; the fields hold the expected and the measured times."},
    event_description{link_silent, severity::warning, "link_silent",
                      "A node link with outstanding work made no progress and was replaced."},
    event_description{link_lost, severity::info, "link_lost",
                      "A node link was closed by the peer or the network."},
    event_description{server_unreachable, severity::warning, "server_unreachable",
                      "The connection to the server failed."},
    event_description{server_draining, severity::info, "server_draining",
                      "The server reports that it is draining."},
    event_description{bad_request, severity::debug, "bad_request", "A caller's request was malformed."},
    event_description{server_instance_seen, severity::info, "server_instance_seen",
                      "The server's report names a different process than before."},
    event_description{server_rate_limit_changed, severity::info, "server_rate_limit_changed",
                      "The server named another rate limit than before, or none any more."},
    event_description{server_advice_malformed, severity::warning, "server_advice_malformed",
                      "A field in which the server limits its load could not be decoded."},
    event_description{server_leaving, severity::info, "server_leaving",
                      "The server's responses say that it leaves, or no longer say so."},
    event_description{server_crashed, severity::warning, "server_crashed",
                      "The server process ended while runs were in progress."},
    event_description{link_message_malformed, severity::warning, "link_message_malformed",
                      "A node link was closed because a message on it could not be decoded."},
    event_description{link_queue_full, severity::warning, "link_queue_full",
                      "A node link was closed because the peer read too slowly and the send queue was full."},
    event_description{gossip_malformed, severity::warning, "gossip_malformed",
                      "A datagram that is not a valid gossip message was dropped."},
    event_description{warm_up_value_refused, severity::warning, "warm_up_value_refused",
                      "A warm-up rate or a remaining warm-up time is malformed or out of range."},
    event_description{server_warm_up, severity::info, "server_warm_up",
                      "The server began or ended to count as cold; the fields hold cause, time and rate."},
    event_description{link_assembly_full, severity::warning, "link_assembly_full",
                      "A node link was closed because incomplete large messages filled the memory for them."},
    event_description{link_message_incomplete, severity::info, "link_message_incomplete",
                      "A node link ended before large messages on it were complete; they were dropped."},
    event_description{memory_budget_exhausted, severity::warning, "memory_budget_exhausted",
                      "The budget for bytes held for others had no room; requests were refused."},
    event_description{memory_budget_recovered, severity::info, "memory_budget_recovered",
                      "The budget for bytes held for others has room again."},
    event_description{caller_without_progress, severity::warning, "caller_without_progress",
                      "A caller that made no progress was disconnected to make room for others."},
    event_description{settings_invalid, severity::error, "settings_invalid", "The settings file is invalid."},
    event_description{settings_reloaded, severity::info, "settings_reloaded",
                      "The settings file was reloaded."},
};

} // namespace

std::span<const event_description> event_catalogue() {
    return catalogue;
}

const event_description& describe(event_number number) {
    return *std::lower_bound(catalogue.begin(), catalogue.end(), number,
                             [](const event_description& it, event_number n) { return it.number < n; });
}

std::string_view to_string(severity level) {
    constexpr std::array<std::string_view, 4> names{"debug", "info", "warning", "error"};
    return names.at(static_cast<std::size_t>(level));
}

} // namespace cornelpier
