#include "tests/scenario/scenario_parser.hpp"

#include <sstream>
#include <stdexcept>

namespace cornelpier::testing {

const std::string& scenario_command::argument(std::size_t position) const {
    if (position >= arguments.size()) {
        throw std::runtime_error("line " + std::to_string(line) + ": missing argument");
    }
    return arguments[position];
}

std::string scenario_command::option(const std::string& name, const std::string& fallback) const {
    const auto it = options.find(name);
    return it == options.end() ? fallback : it->second;
}

duration parse_duration(const std::string& text) {
    std::istringstream in{text};
    double number = 0;
    std::string unit;
    in >> number >> unit;
    if (unit == "us" || unit == "ms" || unit == "s") {
        const auto factor = unit == "us" ? 1e-6 : unit == "ms" ? 1e-3 : 1.0;
        return from_seconds(number * factor + 1e-9);
    }
    throw std::runtime_error("not a duration in us, ms or s: " + text);
}

namespace {

scenario_command parse_command(const std::string& text, std::size_t number) {
    scenario_command result;
    result.line = number;
    std::istringstream in{text.substr(0, text.find('#'))};
    std::string token;
    in >> token;
    if (token == "at") {
        in >> token;
        result.at = time_point{parse_duration(token)};
        token.clear();
        in >> token;
    }

    result.verb = token;
    while (in >> token) {
        const auto equals = token.find('=');
        if (equals == std::string::npos || token.front() == '/') {
            result.arguments.push_back(token);
        } else {
            result.options[token.substr(0, equals)] = token.substr(equals + 1);
        }
    }
    return result;
}

} // namespace

result<std::vector<scenario_command>> parse_scenario(std::string_view text) {
    std::vector<scenario_command> commands;
    std::istringstream in{std::string{text}};
    std::string line;
    for (std::size_t number = 1; std::getline(in, line); ++number) {
        try {
            auto it = parse_command(line, number);
            if (!it.verb.empty()) {
                commands.push_back(std::move(it));
            }
        } catch (const std::runtime_error& failure) {
            return error{"line " + std::to_string(number), failure.what()};
        }
    }
    return commands;
}

} // namespace cornelpier::testing
