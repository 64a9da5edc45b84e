#include "daemon/report/plan_report.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>
#include <sstream>

namespace cornelpier {

namespace {

using json = nlohmann::ordered_json;

/// Names come from the document. Control characters would change the terminal or split a line.
std::string printable(std::string text) {
    std::ranges::replace_if(
        text, [](char c) { return static_cast<unsigned char>(c) < ' ' || c == '\x7f'; }, '?');
    return text;
}

std::string counted(std::size_t number, const std::string& noun) {
    return std::to_string(number) + ' ' + noun + (number == 1 ? "" : "s");
}

std::string verdict_text(const std::vector<plan_finding>& findings) {
    if (findings.empty()) {
        return "valid";
    }
    return counted(count(findings, finding_severity::error), "error") + ", " +
           counted(count(findings, finding_severity::warning), "warning");
}

/// Keeps lines below 40 columns where the length of the names allows it, for small screens.
void write_services(std::ostream& out, const plan& content) {
    for (const auto& service : content.services) {
        if (service.targets.empty()) {
            continue;
        }
        std::set<std::string> data_centres;
        for (const auto& it : service.targets) {
            data_centres.insert(it.data_centre.value());
        }
        out << printable(service.id.value()) << "\n  targets " << service.targets.size() << " in "
            << data_centres.size() << " data centres\n  slots " << service.slots << ", deadline "
            << service.deadline.count() / 1000 << " ms\n  measuring " << service.measuring.per_second
            << "/s, tail weight " << service.tail_weight << "\n";
    }
}

void write_difference(std::ostream& out, const plan_report_difference& difference) {
    out << "difference from version " << difference.in_force << " in force: ";
    if (!difference.is_complete) {
        out << "not shown, since parts of the document are invalid\n";
        return;
    }
    out << (difference.changes.empty() ? "none" : counted(difference.changes.size(), "change")) << '\n';
    for (const auto& it : difference.changes) {
        out << printable(std::string{to_string(it.kind)} + ' ' + it.entry + ' ' + it.name + ": " + it.text)
            << '\n';
    }
}

json to_item(const plan_finding& finding) {
    return {{"name", to_string(finding.kind)},
            {"severity", to_string(severity_of(finding.kind))},
            {"place", finding.place},
            {"text", finding.text}};
}

json to_item(const plan_change& change) {
    return {{"change", to_string(change.kind)},
            {"entry", change.entry},
            {"name", change.name},
            {"text", change.text}};
}

template <typename Items>
json to_list(const Items& items) {
    json list = json::array();
    for (const auto& it : items) {
        list.push_back(to_item(it));
    }
    return list;
}

} // namespace

std::string to_text(const plan_report& report) {
    std::ostringstream out;
    out << report.format;
    if (report.content.version > 0) {
        out << ' ' << report.content.version;
    }
    if (!report.content.deployment.empty()) {
        out << " of " << printable(report.content.deployment);
    }
    out << ": " << verdict_text(report.findings) << '\n';
    for (const auto& it : report.findings) {
        out << printable(std::string{to_string(severity_of(it.kind))} + ' ' +
                         std::string{to_string(it.kind)} + ' ' + (it.place.empty() ? "/" : it.place) + ": " +
                         it.text)
            << '\n';
    }
    if (count(report.findings, finding_severity::error) == 0) {
        out << report.content.sheet.size() << " of " << max_plan_bytes << " bytes\n";
        write_services(out, report.content);
    }
    if (report.difference) {
        write_difference(out, *report.difference);
    }
    return out.str();
}

std::string to_json(const plan_report& report) {
    json document{{"format", report.format},
                  {"version", report.content.version},
                  {"errors", count(report.findings, finding_severity::error)},
                  {"warnings", count(report.findings, finding_severity::warning)},
                  {"findings", to_list(report.findings)}};
    if (report.difference) {
        document["difference"] = {{"in_force", report.difference->in_force},
                                  {"complete", report.difference->is_complete},
                                  {"changes", to_list(report.difference->changes)}};
    }
    constexpr int indentation = 2;
    return document.dump(indentation, ' ', false, json::error_handler_t::replace) + '\n';
}

} // namespace cornelpier
