#include "platform/known_position.hpp"

#include <catch2/catch.hpp>

namespace cornelpier::platform {

TEST_CASE("a reader's word moves the position unless changes before it were lost", "[platform]") {
    known_position position;
    position.restart(10);
    CHECK(position.on_word(8, 12, false));
    CHECK(position.known() == 12);
    CHECK_FALSE(position.on_word(14, 20, false));
    CHECK(position.known() == 12);
    CHECK(position.on_word(8, 11, false));
    CHECK(position.known() == 12);
}

TEST_CASE("a node that misses entries reads on until they are back", "[platform]") {
    known_position position;
    position.restart(10);
    CHECK_FALSE(position.on_word(8, 12, true));
    CHECK(position.known() == 10);
}

TEST_CASE("an answer of the store that a word has overtaken is no news", "[platform]") {
    known_position position;
    position.restart(10);
    REQUIRE(position.on_word(8, 12, false));
    CHECK_FALSE(position.on_read(11));
    CHECK(position.on_read(12));
    CHECK(position.on_read(15));
    CHECK(position.known() == 15);
}

TEST_CASE("others are told only up to what was published", "[platform]") {
    known_position position;
    position.restart(10);
    position.on_settled();
    REQUIRE(position.on_read(15));
    CHECK(position.settled() == 10);
    position.on_settled();
    CHECK(position.settled() == 15);
}

} // namespace cornelpier::platform
