#include "daemon/settings/settings_file.hpp"

#include "daemon/program/program.hpp"

#include <iostream>
#include <utility>
#include <variant>
#include <vector>

namespace cornelpier {

void print_settings_error(const std::string& path, const error& problem) {
    std::cerr << path << ": " << problem.place << ": " << problem.reason << '\n';
}

std::optional<settings_file> load_settings_file(const std::string& path) {
    auto text = read_file(path);
    if (!text) {
        std::cerr << path << ": cannot be read\n";
        return std::nullopt;
    }
    auto outcome = check_node_settings(*text);
    if (auto* settings = std::get_if<node_settings>(&outcome)) {
        return settings_file{std::move(*settings), *std::move(text)};
    }
    for (const auto& it : std::get<std::vector<error>>(outcome)) {
        print_settings_error(path, it);
    }
    return std::nullopt;
}

} // namespace cornelpier
