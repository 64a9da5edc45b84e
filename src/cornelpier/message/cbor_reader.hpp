#pragma once

#include <nlohmann/json_fwd.hpp>

#include <string_view>

namespace cornelpier {

/// Reads bytes of another process.
/// @param bytes one CBOR item and nothing else.
/// @return the item, or a discarded value for anything else. Never throws for what the bytes hold.
nlohmann::json read_cbor(std::string_view bytes);

} // namespace cornelpier
