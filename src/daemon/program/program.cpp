#include "daemon/program/program.hpp"

#include <exception>
#include <iostream>

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

int run_guarded(const std::string& name, const std::function<int()>& run) {
    try {
        return run();
    } catch (const std::exception& problem) {
        std::cerr << name << ": " << problem.what() << '\n';
        return exit_failure;
    }
}

} // namespace cornelpier
