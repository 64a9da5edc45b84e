#include "daemon/report/fleet_report.hpp"

#include <algorithm>
#include <tuple>
#include <unordered_map>
#include <utility>

namespace cornelpier {

namespace {

void add_to(group_totals& totals, const node_line& line) {
    ++totals.nodes;
    if (!line.details) {
        return;
    }

    const auto& details = *line.details;
    ++totals.answered;
    totals.serving += details.state == "serving" ? 1 : 0;
    totals.running += details.running;
    totals.queued += details.queued;
}

void add_to(call_counts& totals, const call_counts& calls) {
    totals.ran += calls.ran;
    totals.not_run += calls.not_run;
    totals.unknown += calls.unknown;
    totals.p50 = std::max(totals.p50, calls.p50);
    totals.p99 = std::max(totals.p99, calls.p99);
}

/// Any entry may be called for any service, so calls count for the service called, not for that of the entry.
void add_calls(fleet_report& report, const node_line& line) {
    if (!line.details) {
        return;
    }
    for (const auto& [service, calls] : line.details->calls) {
        add_to(report.all.calls, calls);
        add_to(report.services[service].calls, calls);
    }
}

/// Freshest record of other nodes about one node. The pointers are into the inquiries.
struct peer_record {
    const member_view* record = nullptr;
    const node_inquiry* from = nullptr;
    duration age{};
    const member_view* vm = nullptr;
};

using peer_record_index = std::unordered_map<target_id, peer_record>;

void offer(peer_record& held, const member_view& record, const node_inquiry& from) {
    const duration age = record.age + from.answer_age;
    if (held.record == nullptr || age < held.age) {
        held.record = &record;
        held.from = &from;
        held.age = age;
    }
    if (held.vm == nullptr || record.vm_age < held.vm->vm_age) {
        held.vm = &record;
    }
}

/// Each answer names all members. One pass over the answers keeps the work in proportion to what was read; a
/// search per node would grow with the cube of the fleet.
peer_record_index index_peer_records(const std::vector<node_inquiry>& inquiries) {
    peer_record_index index;
    index.reserve(inquiries.size());
    for (const auto& from : inquiries) {
        if (!from.answer) {
            continue;
        }
        for (const auto& it : from.answer->members) {
            offer(index[it.target], it, from);
        }
    }
    return index;
}

void use_peer_record(node_line& line, const peer_record& known) {
    if (known.record == nullptr) {
        return;
    }
    line.source = fact_source::indirect;
    line.reported_by = known.from->node;
    line.state = known.record->state;
    line.vm_state = known.record->vm_state;
    line.age = known.age;
    line.stale = known.age > stale_after;
}

node_line make_line(const node_inquiry& inquiry, const peer_record& known) {
    node_line line;
    line.node = inquiry.node;
    line.service = inquiry.service;
    line.data_centre = inquiry.data_centre;

    if (!inquiry.answer) {
        use_peer_record(line, known);
        return line;
    }
    line.source = fact_source::direct;
    line.state = inquiry.answer->state;
    // A node does not know the state of its own VM better than others do.
    line.vm_state = known.vm == nullptr ? "unknown" : known.vm->vm_state;
    line.age = inquiry.answer_age;
    line.stale = line.age > stale_after;
    line.details = inquiry.answer;
    line.details->members = std::vector<member_view>{}; // Already merged into the peer records.
    return line;
}

void summarize_plan(fleet_report& report, const std::vector<node_inquiry>& inquiries) {
    std::string hash;
    report.plan_confirmed_age = duration::max();
    for (const auto& it : inquiries) {
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

bool needs_attention(const node_line& line) {
    return line.source != fact_source::direct || line.stale || line.state != "serving" ||
           line.vm_state == "leaving";
}

fleet_report make_fleet_report(const std::vector<node_inquiry>& inquiries, std::string taken_at) {
    fleet_report report;
    report.taken_at = std::move(taken_at);
    summarize_plan(report, inquiries);

    auto index = index_peer_records(inquiries);
    for (const auto& it : inquiries) {
        const auto& line = report.lines.emplace_back(make_line(it, index[it.node]));
        add_to(report.all, line);
        add_to(report.services[line.service], line);
        add_to(report.data_centres[line.data_centre], line);
        add_calls(report, line);
    }
    // Nodes about which something is known come before silent ones, which may be a whole data centre.
    const auto rank = [](const node_line& line) {
        return std::tuple{!needs_attention(line), line.source, line.node};
    };
    std::ranges::sort(report.lines, {}, rank);
    return report;
}

} // namespace cornelpier
