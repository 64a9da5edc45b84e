#include "daemon/program/program.hpp"

#include <exception>
#include <fstream>
#include <iostream>
#include <iterator>

namespace cornelpier {

std::optional<int> parse_command_line(CLI::App& app, int argc, const char* const* argv) {
    app.set_version_flag("--version", app.get_name() + ' ' + CORNELPIER_VERSION);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& problem) {
        return app.exit(problem) == exit_success ? exit_success : exit_bad_input;
    }
    return std::nullopt;
}

std::optional<std::string> read_file(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        return std::nullopt;
    }
    return std::string{std::istreambuf_iterator<char>(file), {}};
}

int run_with_error_report(const std::string& name, const std::function<int()>& run) {
    try {
        return run();
    } catch (const std::exception& problem) {
        std::cerr << name << ": " << problem.what() << '\n';
        return exit_failure;
    }
}

} // namespace cornelpier
