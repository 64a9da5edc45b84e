#include "daemon/report/fleet_report.hpp"

#include <algorithm>
#include <tuple>
#include <unordered_map>
#include <utility>

namespace cornelpier {

namespace {

void accumulate(group_totals& totals, const node_status& status) {
    ++totals.nodes;
    if (!status.details) {
        return;
    }

    const auto& details = *status.details;
    ++totals.answered;
    totals.serving += details.state == "serving" ? 1 : 0;
    totals.running += details.running;
    totals.queued += details.queued;
}

void accumulate(call_counts& totals, const call_counts& calls) {
    totals.ran += calls.ran;
    totals.not_run += calls.not_run;
    totals.unknown += calls.unknown;
    totals.p50 = std::max(totals.p50, calls.p50);
    totals.p99 = std::max(totals.p99, calls.p99);
}

/// Any entry accepts calls to any service, so calls are attributed to the called service, not to the entry's.
void add_calls(fleet_report& report, const node_status& status) {
    if (!status.details) {
        return;
    }
    for (const auto& [service, calls] : status.details->calls) {
        accumulate(report.fleet.calls, calls);
        accumulate(report.services[service].calls, calls);
    }
}

/// Most recent records of other nodes about one node. The pointers refer to elements of the query results.
struct peer_record {
    const member_view* record = nullptr;
    const node_query_result* from = nullptr;
    duration age{};
    const member_view* vm = nullptr;
};

using peer_record_index = std::unordered_map<target_id, peer_record>;

void update_peer_record(peer_record& current, const member_view& record, const node_query_result& from) {
    const duration age = record.age + from.answer_age;
    if (current.record == nullptr || age < current.age) {
        current.record = &record;
        current.from = &from;
        current.age = age;
    }
    if (current.vm == nullptr || record.vm_age < current.vm->vm_age) {
        current.vm = &record;
    }
}

/// Each answer lists all members. A single pass over the answers keeps the cost linear in their size; a
/// search per node would be cubic in the number of nodes.
peer_record_index index_peer_records(const std::vector<node_query_result>& query_results) {
    peer_record_index index;
    index.reserve(query_results.size());
    for (const auto& from : query_results) {
        if (!from.answer) {
            continue;
        }
        for (const auto& it : from.answer->members) {
            update_peer_record(index[it.target], it, from);
        }
    }
    return index;
}

void apply_peer_record(node_status& status, const peer_record& known) {
    if (known.record == nullptr) {
        return;
    }
    status.source = fact_source::indirect;
    status.reported_by = known.from->node;
    status.state = known.record->state;
    status.vm_state = known.record->vm_state;
    status.age = known.age;
    status.stale = known.age > stale_after;
}

node_status make_node_status(const node_query_result& query_result, const peer_record& known) {
    node_status status;
    status.node = query_result.node;
    status.service = query_result.service;
    status.data_centre = query_result.data_centre;

    if (!query_result.answer) {
        apply_peer_record(status, known);
        return status;
    }
    status.source = fact_source::direct;
    status.state = query_result.answer->state;
    // A node has no better knowledge of its own VM than other nodes, so their most recent record is used.
    status.vm_state = known.vm == nullptr ? "unknown" : known.vm->vm_state;
    status.age = query_result.answer_age;
    status.stale = status.age > stale_after;
    status.details = query_result.answer;
    status.details->members = std::vector<member_view>{}; // Already merged into the peer records.
    return status;
}

void summarize_plan(fleet_report& report, const std::vector<node_query_result>& query_results) {
    std::string hash;
    report.plan_confirmed_age = duration::max();
    for (const auto& it : query_results) {
        if (!it.answer) {
            continue;
        }
        const auto& answer = *it.answer;
        report.plan_conflict = report.plan_conflict || answer.plan_conflict;
        if (answer.plan_version > report.plan_version) {
            report.plan_version = answer.plan_version;
            report.nodes_with_plan = 0;
            report.plan_confirmed_age = duration::max();
            hash = answer.plan_hash;
        }
        if (answer.plan_version != report.plan_version) {
            continue;
        }
        report.plan_conflict = report.plan_conflict || answer.plan_hash != hash;
        ++report.nodes_with_plan;
        report.plan_confirmed_age =
            std::min(report.plan_confirmed_age, answer.plan_confirmed_age + it.answer_age);
    }
}

} // namespace

bool needs_attention(const node_status& status) {
    return status.source != fact_source::direct || status.stale || status.state != "serving" ||
           status.vm_state == "leaving" ||
           (status.details && (status.details->rate_limit || status.details->quarantined_requests > 0));
}

fleet_report make_fleet_report(const std::vector<node_query_result>& query_results, std::string taken_at) {
    fleet_report report;
    report.taken_at = std::move(taken_at);
    summarize_plan(report, query_results);

    auto index = index_peer_records(query_results);
    for (const auto& it : query_results) {
        const auto& status = report.nodes.emplace_back(make_node_status(it, index[it.node]));
        accumulate(report.fleet, status);
        accumulate(report.services[status.service], status);
        accumulate(report.data_centres[status.data_centre], status);
        add_calls(report, status);
    }
    // Nodes with a known state precede those without one, which may be an entire data centre.
    const auto rank = [](const node_status& status) {
        return std::tuple{!needs_attention(status), status.source, status.node};
    };
    std::ranges::sort(report.nodes, {}, rank);
    return report;
}

} // namespace cornelpier
