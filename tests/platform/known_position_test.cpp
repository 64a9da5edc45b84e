#include "platform/known_position.hpp"

#include <catch2/catch.hpp>

namespace cornelpier::platform {

namespace {

constexpr std::uint64_t same = 77;
constexpr std::uint64_t different = 78;

known_position at(revision current) {
    known_position position;
    position.restart(current);
    return position;
}

} // namespace

TEST_CASE("a reader's word moves the position if both believe the same", "[platform]") {
    auto position = at(10);
    CHECK(position.on_word({12, same}, same, false) == word_value::covers);
    CHECK(position.known() == 12);
    CHECK(position.on_word({20, different}, same, false) == word_value::falls_short);
    CHECK(position.known() == 12);
    CHECK(position.on_word({11, same}, same, false) == word_value::covers);
    CHECK(position.known() == 12);
}

TEST_CASE("a node that misses entries reads on until they are back", "[platform]") {
    auto position = at(10);
    CHECK(position.on_word({12, same}, same, true) == word_value::falls_short);
    CHECK(position.known() == 10);
}

TEST_CASE("a node that believes something else than the reader does not skip changes", "[platform]") {
    auto position = at(10);
    CHECK(position.on_word({12, same}, different, false) == word_value::falls_short);
    CHECK(position.known() == 10);
    // At one position there is nothing left to read that could explain it.
    CHECK(position.on_word({10, same}, different, false) == word_value::contradicts);
}

TEST_CASE("an answer of the store that a word has overtaken is no news", "[platform]") {
    auto position = at(10);
    REQUIRE(position.on_word({12, same}, same, false) == word_value::covers);
    CHECK_FALSE(position.on_read(11));
    CHECK(position.on_read(12));
    CHECK(position.on_read(15));
    CHECK(position.known() == 15);
}

TEST_CASE("others are told only up to what was published", "[platform]") {
    auto position = at(10);
    position.on_settled();
    REQUIRE(position.on_read(15));
    CHECK(position.settled() == 10);
    position.on_settled();
    CHECK(position.settled() == 15);
}

} // namespace cornelpier::platform
