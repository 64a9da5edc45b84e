#pragma once

#include <CLI/CLI.hpp>

#include <functional>
#include <optional>
#include <string>

namespace cornelpier {

/// Exit statuses of all programs.
inline constexpr int exit_success = 0;
inline constexpr int exit_failure = 1;   ///< Failure while running.
inline constexpr int exit_bad_input = 2; ///< Wrong command line, settings or plan.

/// Adds `--version` and parses the command line.
/// @return the exit status if the program is done: after `--help`, `--version` or a mistake.
std::optional<int> parse_command_line(CLI::App& app, int argc, const char* const* argv);

/// @return the content of a file, or nothing if it cannot be read.
std::optional<std::string> read_file(const std::string& path);

/// Runs a program and turns an exception into a message and a failure.
/// @param name name of the program for the message.
/// @param run the program; returns the exit status.
int run_with_error_report(const std::string& name, const std::function<int()>& run);

} // namespace cornelpier
