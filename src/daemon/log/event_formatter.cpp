#include "daemon/log/event_formatter.hpp"

#include "cornelpier/base/hexadecimal.hpp"

#include <nlohmann/json.hpp>

#include <array>
#include <cstdio>
#include <ctime>
#include <utility>

namespace cornelpier {

namespace {

std::string format_wall_time(std::chrono::system_clock::time_point wall) {
    using namespace std::chrono;
    const auto micros = duration_cast<microseconds>(wall.time_since_epoch()).count();
    const std::time_t seconds = system_clock::to_time_t(wall);
    std::tm parts{};
    gmtime_r(&seconds, &parts);

    std::array<char, 32> date{};
    const auto n = std::strftime(date.data(), date.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    std::array<char, 16> fraction{};
    std::snprintf(fraction.data(), fraction.size(), ".%06dZ", static_cast<int>(micros % 1'000'000));
    return std::string(date.data(), n) + fraction.data();
}

std::string quote_json(const std::string& value) {
    return nlohmann::json(value).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

event_formatter::event_formatter(log_format format, target_id node, incarnation process)
    : m_format(format), m_node(std::move(node)), m_incarnation(to_hexadecimal(process.value())) {}

std::string event_formatter::format(const log_entry& entry) const {
    return m_format == log_format::json ? format_json(entry) : format_text(entry);
}

std::string event_formatter::format_json(const log_entry& entry) const {
    const auto& kind = describe(entry.record.number);
    nlohmann::ordered_json line;
    line["wall"] = format_wall_time(entry.wall);
    line["monotonic_us"] = entry.monotonic.time_since_epoch().count();
    line["stamp"] = entry.stamp.value();
    line["node"] = m_node.value();
    line["incarnation"] = m_incarnation;
    line["sequence"] = entry.sequence;
    line["severity"] = to_string(kind.level);
    line["number"] = static_cast<int>(kind.number);
    line["name"] = kind.name;

    auto& fields = line["fields"] = nlohmann::ordered_json::object();
    for (const auto& [name, value] : entry.record.fields) {
        fields[name] = value;
    }
    if (entry.suppressed != 0) {
        line["left_out"] = entry.suppressed;
    }
    return line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

std::string event_formatter::format_text(const log_entry& entry) const {
    const auto& kind = describe(entry.record.number);
    std::string line = format_wall_time(entry.wall);
    line += ' ' + std::to_string(entry.monotonic.time_since_epoch().count());
    line += ' ' + m_node.value() + ' ' + m_incarnation + ' ' + std::to_string(entry.sequence) + ' ';
    line += to_string(kind.level);
    line += ' ' + std::to_string(static_cast<int>(kind.number)) + ' ';
    line += kind.name;

    for (const auto& [name, value] : entry.record.fields) {
        line += ' ' + name + '=' + quote_json(value);
    }
    if (entry.suppressed != 0) {
        line += " left_out=" + std::to_string(entry.suppressed);
    }
    return line;
}

} // namespace cornelpier
