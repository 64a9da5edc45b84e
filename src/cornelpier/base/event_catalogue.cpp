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
                      "The node refuses new runs and drains."},
    event_description{drain_cancelled, severity::info, "drain_cancelled",
                      "No reason to drain is left; the node serves again."},
    event_description{node_stopped, severity::info, "node_stopped", "The node stopped."},
    event_description{pause_detected, severity::warning, "pause_detected",
                      "The process did not run for a while; readings and permits were dropped."},
    event_description{stop_requested, severity::info, "stop_requested", "The process was asked to stop."},
    event_description{process_ended, severity::info, "process_ended", "The process ends."},
    event_description{handler_failed, severity::error, "handler_failed",
                      "An unexpected error ended the handling of one event; the process goes on."},
    event_description{plan_accepted, severity::info, "plan_accepted", "A plan came into force."},
    event_description{plan_refused_older, severity::warning, "plan_refused_older",
                      "A plan of a lower version than the one in force was refused."},
    event_description{plan_refused_conflict, severity::error, "plan_refused_conflict",
                      "A plan of the version in force with other content was refused."},
    event_description{plan_refused_invalid, severity::error, "plan_refused_invalid",
                      "An invalid plan was refused."},
    event_description{plan_refused_too_large, severity::error, "plan_refused_too_large",
                      "A plan above the size limit was refused."},
    event_description{configuration_unreachable, severity::warning, "configuration_unreachable",
                      "The configuration service did not answer."},
    event_description{configuration_regained, severity::info, "configuration_regained",
                      "The configuration service answers again."},
    event_description{member_joined, severity::info, "member_joined", "A node was heard for the first time."},
    event_description{member_restarted, severity::info, "member_restarted",
                      "A node is back with a new incarnation."},
    event_description{vm_leaving, severity::info, "vm_leaving", "The VM list marks a VM as leaving."},
    event_description{vm_list_unreachable, severity::warning, "vm_list_unreachable",
                      "The VM list could not be read."},
    event_description{directory_changed, severity::info, "directory_changed",
                      "A target was added or removed or changed its state."},
    event_description{directory_entry_refused, severity::warning, "directory_entry_refused",
                      "An entry of the target directory names no usable target."},
    event_description{target_ejected, severity::warning, "target_ejected",
                      "A target was ejected from the choice."},
    event_description{target_trial, severity::info, "target_trial",
                      "An ejected target receives a trial request."},
    event_description{target_recovered, severity::info, "target_recovered",
                      "An ejected target answered its trial and is chosen again."},
    event_description{answer_discarded, severity::debug, "answer_discarded",
                      "A late or duplicate answer was dropped."},
    event_description{retry_budget_exhausted, severity::warning, "retry_budget_exhausted",
                      "A request was not retried because the retry budget of its service was empty."},
    event_description{verdict_unknown, severity::warning, "verdict_unknown",
                      "A caller was told that it is unknown whether its request ran."},
    event_description{call_failed, severity::info, "call_failed",
                      "A call got no success; the attempts and their ends are named."},
    event_description{call_late, severity::debug, "call_late",
                      "A call succeeded after its objective; the attempts and their ends are named."},
    event_description{run_refused, severity::debug, "run_refused", "The owner refused a run."},
    event_description{duplicate_run_refused, severity::info, "duplicate_run_refused",
                      "A second copy of a request was not run."},
    event_description{measuring_budget_exhausted, severity::debug, "measuring_budget_exhausted",
                      "A measurement was left out because the measuring budget was empty."},
    event_description{ledger_full, severity::error, "ledger_full",
                      "A non-idempotent run was refused because the ledger was full."},
    event_description{run_ended, severity::debug, "run_ended",
                      "The server answered a run; what was expected of it is named."},
    event_description{link_silent, severity::warning, "link_silent",
                      "A node link with work outstanding made no progress and was replaced."},
    event_description{link_lost, severity::info, "link_lost",
                      "A node link was closed by the peer or the network."},
    event_description{server_unreachable, severity::warning, "server_unreachable",
                      "No connection to the server could be made."},
    event_description{server_draining, severity::info, "server_draining",
                      "The server reports that it drains."},
    event_description{bad_request, severity::debug, "bad_request", "A caller's request was malformed."},
    event_description{server_instance_seen, severity::info, "server_instance_seen",
                      "The server's report names another process than before."},
    event_description{link_message_malformed, severity::warning, "link_message_malformed",
                      "A node link was closed because a message on it could not be read."},
    event_description{link_queue_full, severity::warning, "link_queue_full",
                      "A node link was closed because the peer did not read fast enough."},
    event_description{gossip_malformed, severity::warning, "gossip_malformed",
                      "A datagram that is no gossip message was dropped."},
    event_description{settings_invalid, severity::error, "settings_invalid", "The settings file is invalid."},
    event_description{settings_reloaded, severity::info, "settings_reloaded",
                      "The settings file was read again."},
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
