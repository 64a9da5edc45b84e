#pragma once

#include <string_view>

namespace cornelpier {

/// JSON Schema of the node settings. A test checks that it equals `schemas/settings.schema.json`.
std::string_view settings_schema();

} // namespace cornelpier
