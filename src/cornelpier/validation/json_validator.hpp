#pragma once

#include "cornelpier/base/result.hpp"

#include <nlohmann/json_fwd.hpp>

#include <string_view>
#include <vector>

namespace cornelpier {

/// Parses JSON text.
/// @return the document, or the place (line and column) and reason of the syntax error.
result<nlohmann::json> parse_json(std::string_view text);

/// Checks a document against a JSON Schema.
/// @param document any JSON value.
/// @param schema_text JSON Schema (draft 7) with `properties`, `required`, `items`, `type`, `enum` and
/// limits.
/// @return every mistake with its JSON pointer; an unknown key names the nearest known one.
std::vector<error> validate_json(const nlohmann::json& document, std::string_view schema_text);

} // namespace cornelpier
