#pragma once

#include <nlohmann/json_fwd.hpp>

#include <string_view>

namespace cornelpier {

/// Parses untrusted CBOR.
/// @param bytes exactly one CBOR item.
/// @return the item, or a discarded value for any other input. Malformed input does not throw.
nlohmann::json read_cbor(std::string_view bytes);

} // namespace cornelpier
