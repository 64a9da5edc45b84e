#pragma once

#include "cornelpier/base/result.hpp"

#include "daemon/settings/node_settings.hpp"

#include <optional>
#include <string>

namespace cornelpier {

/// Settings of a node with the text that they were read from.
struct settings_file {
    node_settings settings;
    std::string text;
};

/// Prints a mistake in a settings file to standard error.
void print_settings_error(const std::string& path, const error& problem);

/// Reads and checks the settings file of a program.
/// @return the settings, or nothing after a message for each mistake.
std::optional<settings_file> load_settings_file(const std::string& path);

} // namespace cornelpier
