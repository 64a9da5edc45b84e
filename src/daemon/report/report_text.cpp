#include "daemon/report/report_text.hpp"

#include <sstream>

namespace cornelpier {

namespace {

void write_plan(std::ostream& out, const fleet_report& report) {
    out << "plan      version " << report.plan_version << " at " << report.nodes_with_plan << " of "
        << report.fleet.answered << " that answered\n";
    if (report.plan_conflict) {
        out << "          CONFLICT: two contents of one version\n";
    }
    if (report.fleet.answered > 0) {
        out << "          confirmed " << format_age(report.plan_confirmed_age) << " ago\n";
    }
}

void write_group(std::ostream& out, const std::string& name, const group_totals& totals) {
    out << name << ": " << format_answered(totals) << ", " << totals.serving << " serving\n"
        << "  running " << totals.running << ", queued " << totals.queued << '\n'
        << "  last minute: ran " << totals.calls.ran << ", not run " << totals.calls.not_run << ", unknown "
        << totals.calls.unknown << '\n'
        << "  worst entry: p50 " << format_latency(totals.calls, totals.calls.p50) << ", p99 "
        << format_latency(totals.calls, totals.calls.p99) << '\n';
}

void write_node_status(std::ostream& out, const node_status& status) {
    const bool current = status.source == fact_source::direct && !status.stale;
    out << "  " << status.node.value() << " (" << status.data_centre.value()
        << "): " << (current ? "" : "last known ") << status.state;
    if (status.vm_state == "leaving") {
        out << ", VM leaving";
    }
    if (const std::string limit = format_rate_limit(status); !limit.empty()) {
        out << "\n    " << limit;
    }
    if (const std::string quarantine = format_quarantine(status); !quarantine.empty()) {
        out << "\n    " << quarantine;
    }
    out << "\n    " << format_source(status) << '\n';
}

} // namespace

std::string format_age(duration age) {
    using namespace std::chrono;
    if (age < 10ms) {
        return std::to_string(age.count() / 1000) + '.' + std::to_string(age.count() % 1000 / 100) + " ms";
    }
    if (age < 2s) {
        return std::to_string(duration_cast<milliseconds>(age).count()) + " ms";
    }
    if (age < 2min) {
        return std::to_string(duration_cast<seconds>(age).count()) + " s";
    }
    if (age < 2h) {
        return std::to_string(duration_cast<minutes>(age).count()) + " min";
    }
    return std::to_string(duration_cast<hours>(age).count()) + " h";
}

std::string format_latency(const call_counts& calls, duration quantile) {
    const bool any = calls.ran + calls.not_run + calls.unknown > 0;
    return any ? format_age(quantile) : "no calls";
}

std::string format_source(const node_status& status) {
    if (status.source == fact_source::none) {
        return "no answer, no report by another node";
    }
    std::string text = status.source == fact_source::direct
                           ? "from the node itself"
                           : "no answer; reported by " + status.reported_by.value();
    text += ", " + format_age(status.age) + " old";
    return status.stale ? text + ", STALE" : text;
}

std::string format_rate_limit(const node_status& status) {
    if (!status.details || !status.details->rate_limit) {
        return {};
    }
    return "server accepts " + to_text(*status.details->rate_limit) + " requests a second";
}

std::string format_quarantine(const node_status& status) {
    if (!status.details || status.details->quarantined_requests == 0) {
        return {};
    }
    return "requests in quarantine: " + std::to_string(status.details->quarantined_requests) +
           "; server crashed: " + std::to_string(status.details->server_crashes);
}

std::string format_answered(const group_totals& totals) {
    if (totals.answered == totals.nodes) {
        return "all " + std::to_string(totals.nodes) + " nodes answered";
    }
    return std::to_string(totals.answered) + " of " + std::to_string(totals.nodes) + " nodes answered";
}

std::string to_text(const fleet_report& report) {
    std::ostringstream out;
    out << "cornelpier " << report.taken_at << '\n';
    write_plan(out, report);
    write_group(out, "fleet", report.fleet);

    out << "\nservices\n";
    for (const auto& [id, totals] : report.services) {
        write_group(out, id.value(), totals);
    }
    out << "\ndata centres\n";
    for (const auto& [id, totals] : report.data_centres) {
        out << id.value() << ": " << format_answered(totals) << ", " << totals.serving << " serving\n";
    }

    out << "\nneed attention\n";
    std::size_t n = 0;
    for (const auto& it : report.nodes) {
        if (needs_attention(it)) {
            write_node_status(out, it);
            ++n;
        }
    }
    if (n == 0) {
        out << "  none of the nodes that answered\n";
    }
    return out.str();
}

} // namespace cornelpier
