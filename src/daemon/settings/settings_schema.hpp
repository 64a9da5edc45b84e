#pragma once

#include <string_view>

namespace cornelpier {

/// JSON Schema of the node settings, the text of `schemas/settings.schema.json`. A test compares both.
std::string_view settings_schema();

} // namespace cornelpier
