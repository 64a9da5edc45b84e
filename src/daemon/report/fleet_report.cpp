#include "daemon/report/fleet_report.hpp"

#include <algorithm>
#include <tuple>
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
    totals.calls.ran += details.calls.ran;
    totals.calls.not_run += details.calls.not_run;
    totals.calls.unknown += details.calls.unknown;
    totals.calls.p50 = std::max(totals.calls.p50, details.calls.p50);
    totals.calls.p99 = std::max(totals.calls.p99, details.calls.p99);
}

/// Takes over a record of another node if it is fresher than what the line has.
void offer_hearsay(node_line& line, const member_view& record, const node_inquiry& from) {
    const duration age = record.age + from.answer_age;
    if (line.source == fact_source::hearsay && line.age <= age) {
        return;
    }
    line.source = fact_source::hearsay;
    line.heard_from = from.node;
    line.state = record.state;
    line.vm_state = record.vm_state;
    line.age = age;
    line.stale = age > stale_after;
}

void collect_hearsay(node_line& line, const std::vector<node_inquiry>& inquiries) {
    for (const auto& from : inquiries) {
        if (!from.answer) {
            continue;
        }
        const auto it = std::ranges::find(from.answer->members, line.node, &member_view::target);
        if (it != from.answer->members.end()) {
            offer_hearsay(line, *it, from);
        }
    }
}

/// A node does not know the state of its own VM better than others do; take the freshest word on it.
std::string freshest_vm_state(const target_id& node, const std::vector<node_inquiry>& inquiries) {
    const member_view* freshest = nullptr;
    for (const auto& from : inquiries) {
        if (!from.answer) {
            continue;
        }
        const auto it = std::ranges::find(from.answer->members, node, &member_view::target);
        if (it != from.answer->members.end() && (freshest == nullptr || it->vm_age < freshest->vm_age)) {
            freshest = &*it;
        }
    }
    return freshest == nullptr ? "unknown" : freshest->vm_state;
}

node_line make_line(const node_inquiry& inquiry, const std::vector<node_inquiry>& inquiries) {
    node_line line;
    line.node = inquiry.node;
    line.service = inquiry.service;
    line.data_centre = inquiry.data_centre;

    if (!inquiry.answer) {
        collect_hearsay(line, inquiries);
        return line;
    }
    line.source = fact_source::own;
    line.state = inquiry.answer->state;
    line.vm_state = freshest_vm_state(inquiry.node, inquiries);
    line.age = inquiry.answer_age;
    line.stale = line.age > stale_after;
    line.details = inquiry.answer;
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
    return line.source != fact_source::own || line.stale || line.state != "serving" ||
           line.vm_state == "leaving";
}

fleet_report make_fleet_report(const std::vector<node_inquiry>& inquiries, std::string taken_at) {
    fleet_report report;
    report.taken_at = std::move(taken_at);
    summarize_plan(report, inquiries);

    for (const auto& it : inquiries) {
        const auto& line = report.lines.emplace_back(make_line(it, inquiries));
        add_to(report.all, line);
        add_to(report.services[line.service], line);
        add_to(report.data_centres[line.data_centre], line);
    }
    // Nodes about which something is known come before silent ones, which may be a whole data centre.
    const auto rank = [](const node_line& line) {
        return std::tuple{!needs_attention(line), line.source, line.node};
    };
    std::ranges::sort(report.lines, {}, rank);
    return report;
}

} // namespace cornelpier
