#pragma once

#include <CLI/CLI.hpp>

#include <functional>
#include <optional>
#include <string>

namespace cornelpier {

/// Exit statuses of the programs.
inline constexpr int exit_success = 0;
inline constexpr int exit_failure = 1;   ///< Runtime failure.
inline constexpr int exit_bad_input = 2; ///< Invalid command line, settings or plan.

/// Adds `--version` and parses the command line.
/// @return the exit status if the program should exit: after `--help`, `--version` or an invalid argument.
std::optional<int> parse_command_line(CLI::App& app, int argc, const char* const* argv);

/// @return the content of a file, or nothing if it cannot be read.
std::optional<std::string> read_file(const std::string& path);

/// Runs a program. If it throws, prints the error and returns `exit_failure`.
/// @param name program name, the prefix of the error message.
/// @param run main function of the program; returns the exit status.
int run_with_error_report(const std::string& name, const std::function<int()>& run);

} // namespace cornelpier
