#include "cornelpier/base/hash.hpp"

#include <catch2/catch.hpp>

namespace cornelpier {

// Fingerprints are compared between nodes, so hashing in parts must not change them.
TEST_CASE("the hash of parts is that of their concatenation", "[base]") {
    CHECK(stable_hash({"POST", "\n", "", "/orders"}) == stable_hash("POST\n/orders"));
}

} // namespace cornelpier
