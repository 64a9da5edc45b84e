#include "daemon/report/report_html.hpp"

#include "daemon/report/report_text.hpp"

#include <algorithm>
#include <sstream>

namespace cornelpier {

namespace {

/// Further nodes are only counted, to keep the page at a few KB.
constexpr std::size_t max_listed_nodes = 20;

constexpr std::string_view page_head = R"(<!doctype html><html lang="en"><head><meta charset="utf-8">
<meta name="viewport" content="width=device-width,initial-scale=1"><title>cornelpier</title><style>
body{font:16px/1.4 sans-serif;margin:0;padding:8px;max-width:480px;color:#111;background:#fff}
h1{font-size:20px;margin:0}h2{font-size:17px;margin:16px 0 4px}p{margin:2px 0}
table{border-collapse:collapse;width:100%}td,th{text-align:right;padding:3px 2px;border-top:1px solid #ccc}
td:first-child,th:first-child{text-align:left;overflow-wrap:anywhere}
.bad{background:#fde3e0;border-left:4px solid #b00;padding:4px 6px;margin:4px 0}.old{color:#555;font-style:italic}
</style></head><body>
)";

void write_headline(std::ostream& out, const fleet_report& report) {
    out << "<h1>" << format_answered(report.fleet) << "</h1>\n<p class=\"old\">asked at "
        << escape_html(report.taken_at) << "</p>\n";
    out << "<p>Plan " << report.plan_version << " at " << report.nodes_with_plan << " of "
        << report.fleet.answered << " that answered";
    if (report.fleet.answered > 0) {
        out << "; confirmed " << format_age(report.plan_confirmed_age) << " ago";
    }
    out << "</p>\n";
    if (report.plan_conflict) {
        out << "<p class=\"bad\">Two contents of one plan version are in the fleet.</p>\n";
    }
    if (report.fleet.answered < report.fleet.nodes) {
        out << "<p class=\"bad\">Sums leave out " << report.fleet.nodes - report.fleet.answered
            << " nodes that did not answer.</p>\n";
    }
}

void write_services(std::ostream& out, const fleet_report& report) {
    out << "<h2>Services, last minute</h2>\n<table><tr><th>service</th><th>ran</th><th>not "
           "run</th><th>unknown</th>"
           "<th>p99</th></tr>\n";
    for (const auto& [id, totals] : report.services) {
        out << "<tr><td>" << escape_html(id.value()) << " <span class=\"old\">" << totals.answered << '/'
            << totals.nodes << "</span></td><td>" << totals.calls.ran << "</td><td>" << totals.calls.not_run
            << "</td><td>" << totals.calls.unknown << "</td><td>"
            << format_latency(totals.calls, totals.calls.p99) << "</td></tr>\n";
    }
    out << "</table>\n<p class=\"old\">Calls through all entries that answered, p99 of the worst. n/m: nodes "
           "of the service that answered.</p>\n";
}

void write_data_centres(std::ostream& out, const fleet_report& report) {
    out << "<h2>Data centres</h2>\n<table><tr><th>data "
           "centre</th><th>answered</th><th>serving</th><th>running</th>"
           "<th>queued</th></tr>\n";
    for (const auto& [id, totals] : report.data_centres) {
        out << "<tr><td>" << escape_html(id.value()) << "</td><td>" << totals.answered << '/' << totals.nodes
            << "</td><td>" << totals.serving << "</td><td>" << totals.running << "</td><td>" << totals.queued
            << "</td></tr>\n";
    }
    out << "</table>\n";
}

void write_attention(std::ostream& out, const fleet_report& report) {
    out << "<h2>Need attention</h2>\n";
    const auto count = static_cast<std::size_t>(std::ranges::count_if(report.nodes, needs_attention));
    if (count == 0) {
        out << "<p>None of the nodes that answered.</p>\n";
        return;
    }

    for (std::size_t n = 0; n < std::min(count, max_listed_nodes); ++n) {
        const auto& status = report.nodes[n];
        const bool current = status.source == fact_source::direct && !status.stale;
        out << "<div class=\"bad\"><b>" << escape_html(status.node.value()) << "</b> ("
            << escape_html(status.data_centre.value()) << "): " << (current ? "" : "last known ")
            << escape_html(status.state) << (status.vm_state == "leaving" ? ", VM leaving" : "") << "<br>"
            << escape_html(format_rate_limit(status)) << (format_rate_limit(status).empty() ? "" : "<br>")
            << escape_html(format_quarantine(status)) << (format_quarantine(status).empty() ? "" : "<br>")
            << "<span class=\"old\">" << escape_html(format_source(status)) << "</span></div>\n";
    }
    if (count > max_listed_nodes) {
        out << "<p>and " << count - max_listed_nodes << " more; see the text form.</p>\n";
    }
}

} // namespace

std::string escape_html(std::string_view text) {
    std::string result;
    for (const char c : text) {
        switch (c) {
        case '&':
            result += "&amp;";
            break;
        case '<':
            result += "&lt;";
            break;
        case '>':
            result += "&gt;";
            break;
        case '"':
            result += "&quot;";
            break;
        default:
            result += c;
        }
    }
    return result;
}

std::string to_html(const fleet_report& report) {
    std::ostringstream out;
    out << page_head;
    write_headline(out, report);
    write_attention(out, report);
    write_services(out, report);
    write_data_centres(out, report);
    out << "</body></html>\n";
    return out.str();
}

} // namespace cornelpier
