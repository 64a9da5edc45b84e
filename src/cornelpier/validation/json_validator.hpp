#pragma once

#include "cornelpier/base/result.hpp"

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <limits>
#include <string_view>
#include <vector>

namespace cornelpier {

/// First words of the reason of an error about a key that the schema does not have.
inline constexpr std::string_view unknown_key_reason = "unknown key";

/// Number of errors after which validation stops, which bounds the length of a node's report.
inline constexpr std::size_t default_max_errors = 50;

/// For programs that report all errors.
inline constexpr std::size_t unlimited_errors = std::numeric_limits<std::size_t>::max();

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
/// @param max_errors limit of the number of errors.
/// @return the errors, each with its JSON pointer; for an unknown key, the message suggests the nearest known
/// one.
std::vector<error> validate_json(const nlohmann::json& document, std::string_view schema_text,
                                 std::size_t max_errors = default_max_errors);

} // namespace cornelpier
