#pragma once

#include <cstdint>
#include <string_view>

namespace cornelpier {

/// @return a 64-bit hash of the text that is the same in every process and on every platform.
std::uint64_t stable_hash(std::string_view text);

/// Rendezvous hashing: the candidate with the highest score owns the key.
/// @param key what is placed.
/// @param candidate where it may be placed.
/// @return the score of the pair.
std::uint64_t rendezvous_score(std::string_view key, std::string_view candidate);

} // namespace cornelpier
