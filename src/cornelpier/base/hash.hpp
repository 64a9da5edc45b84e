#pragma once

#include <cstdint>
#include <initializer_list>
#include <string_view>

namespace cornelpier {

/// @return a 64-bit hash that is identical in all processes and on all platforms.
std::uint64_t stable_hash(std::string_view text);

/// @return the hash of the concatenated parts, without copying them.
std::uint64_t stable_hash(std::initializer_list<std::string_view> parts);

/// Rendezvous hashing: the candidate with the highest score owns the key.
/// @return the score of the pair of key and candidate.
std::uint64_t rendezvous_score(std::string_view key, std::string_view candidate);

} // namespace cornelpier
