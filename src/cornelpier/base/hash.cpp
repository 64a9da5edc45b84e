#include "cornelpier/base/hash.hpp"

#include <xxhash.h>

#include <memory>

namespace cornelpier {

std::uint64_t stable_hash(std::string_view text) {
    return XXH64(text.data(), text.size(), 0);
}

std::uint64_t stable_hash(std::initializer_list<std::string_view> parts) {
    const std::unique_ptr<XXH64_state_t, decltype(&XXH64_freeState)> state{XXH64_createState(),
                                                                           &XXH64_freeState};
    XXH64_reset(state.get(), 0);
    for (const auto& it : parts) {
        XXH64_update(state.get(), it.data(), it.size());
    }
    return XXH64_digest(state.get());
}

std::uint64_t rendezvous_score(std::string_view key, std::string_view candidate) {
    return XXH64(candidate.data(), candidate.size(), stable_hash(key));
}

} // namespace cornelpier
