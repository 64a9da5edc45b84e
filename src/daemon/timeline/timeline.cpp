#include "daemon/timeline/timeline.hpp"

#include "daemon/report/report_html.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <sstream>
#include <utility>

namespace cornelpier {

namespace {

using nlohmann::json;

timeline_event parse_json_event(const json& item) {
    timeline_event event;
    event.stamp = hybrid_timestamp{item.at("stamp").get<std::uint64_t>()};
    event.wall = item.at("wall").get<std::string>();
    event.node = item.at("node").get<std::string>();
    event.process = item.at("incarnation").get<std::string>();
    event.sequence = item.at("sequence").get<std::uint64_t>();
    event.severity = item.at("severity").get<std::string>();
    event.number = item.at("number").get<int>();
    event.name = item.at("name").get<std::string>();
    event.fields = item.at("fields").get<std::map<std::string, std::string>>();
    event.suppressed = item.value("left_out", std::uint64_t{0});
    return event;
}

bool matches(const timeline_event& event, const timeline_filter& filter) {
    if (!filter.node.empty() && event.node != filter.node) {
        return false;
    }
    if (!filter.event.empty() && event.name != filter.event && std::to_string(event.number) != filter.event) {
        return false;
    }
    if (filter.request.empty()) {
        return true;
    }
    const auto it = event.fields.find("request");
    return it != event.fields.end() && it->second == filter.request;
}

std::string format_fields(const timeline_event& event) {
    std::string text;
    for (const auto& [name, value] : event.fields) {
        text += text.empty() ? "" : " ";
        text += name;
        text += '=';
        text += value;
    }
    if (event.suppressed > 0) {
        text += " (" + std::to_string(event.suppressed) + " more left out)";
    }
    return text;
}

} // namespace

result<timeline_event> parse_event(std::string_view line) {
    try {
        return parse_json_event(json::parse(line));
    } catch (const json::exception& problem) {
        return error{"", problem.what()};
    }
}

void timeline::add_lines(std::string_view text) {
    std::istringstream lines{std::string{text}};
    for (std::string line; std::getline(lines, line);) {
        if (line.empty()) {
            continue;
        }
        auto parsed = parse_event(line);
        if (!has_value(parsed)) {
            ++m_invalid_lines;
            continue;
        }
        auto& event = std::get<timeline_event>(parsed);
        event_key key{event.stamp, event.node, event.process, event.sequence};
        m_events.emplace(std::move(key), std::move(event));
    }
}

std::vector<timeline_event> timeline::select(const timeline_filter& filter) const {
    std::vector<timeline_event> selected;
    for (const auto& [key, event] : m_events) {
        if (matches(event, filter)) {
            selected.push_back(event);
        }
    }
    return selected;
}

std::string to_text(const std::vector<timeline_event>& events) {
    std::ostringstream out;
    for (const auto& it : events) {
        out << it.wall << ' ' << it.node << ' ' << it.number << ' ' << it.name << ' ' << format_fields(it)
            << '\n';
    }
    return out.str();
}

std::string to_html(const std::vector<timeline_event>& events) {
    std::ostringstream out;
    out << R"(<!doctype html><html lang="en"><head><meta charset="utf-8">
<meta name="viewport" content="width=device-width,initial-scale=1"><title>cornelpier time line</title><style>
body{font:15px/1.4 sans-serif;margin:0;padding:8px;max-width:640px}p{margin:0;padding:4px 6px;
border-left:4px solid #999;overflow-wrap:anywhere;border-bottom:1px solid #ddd}
.warning{border-color:#b60}.error{border-color:#b00}small{color:#555}</style></head><body>
)";
    for (const auto& it : events) {
        out << "<p class=\"" << escape_html(it.severity) << "\"><small>" << escape_html(it.wall)
            << "</small> <b>" << escape_html(it.node) << "</b> " << it.number << ' ' << escape_html(it.name)
            << "<br><small>" << escape_html(format_fields(it)) << "</small></p>\n";
    }
    out << "</body></html>\n";
    return out.str();
}

} // namespace cornelpier
