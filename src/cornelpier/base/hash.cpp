#include "cornelpier/base/hash.hpp"

#include <xxhash.h>

namespace cornelpier {

std::uint64_t stable_hash(std::string_view text) {
    return XXH64(text.data(), text.size(), 0);
}

std::uint64_t rendezvous_score(std::string_view key, std::string_view candidate) {
    return XXH64(candidate.data(), candidate.size(), stable_hash(key));
}

} // namespace cornelpier
