#pragma once

#include "cornelpier/base/result.hpp"

#include "daemon/settings/node_settings.hpp"

#include <optional>
#include <string>

namespace cornelpier {

/// Settings of a node and the text that they were parsed from.
struct settings_file {
    node_settings settings;
    std::string text;
};

/// Prints an error in a settings file to standard error.
void print_settings_error(const std::string& path, const error& problem);

/// Reads and validates a settings file.
/// @return the settings, or nothing after printing all errors to standard error.
std::optional<settings_file> load_settings_file(const std::string& path);

} // namespace cornelpier
