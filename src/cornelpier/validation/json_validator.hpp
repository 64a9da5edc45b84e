#pragma once

#include "cornelpier/base/result.hpp"

#include <nlohmann/json_fwd.hpp>

#include <string_view>
#include <vector>

namespace cornelpier {

/// Parses JSON text.
/// @return the document, or an error with line and column.
result<nlohmann::json> parse_json(std::string_view text);

/// Parses untrusted JSON text.
/// @return the document, or a discarded value if the text is malformed or nested too deep.
nlohmann::json read_json(std::string_view text);

/// Validates a document against a JSON Schema.
/// @param document any JSON value.
/// @param schema_text JSON Schema (draft 7) that uses `properties`, `required`, `items`, `type`, `enum` and
/// numeric limits.
/// @return the errors, each with its JSON pointer; for an unknown key, the message suggests the nearest known
/// one.
std::vector<error> validate_json(const nlohmann::json& document, std::string_view schema_text);

} // namespace cornelpier
