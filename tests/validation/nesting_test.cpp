#include "cornelpier/plan/plan_parser.hpp"
#include "cornelpier/validation/nesting.hpp"

#include <catch2/catch.hpp>

#include <string>

namespace cornelpier {

namespace {

std::string repeat(const std::string& text, std::size_t count) {
    std::string result;
    for (std::size_t n = 0; n < count; ++n) {
        result += text;
    }
    return result;
}

} // namespace

TEST_CASE("the nesting of JSON is counted outside of strings", "[nesting]") {
    CHECK_FALSE(is_json_too_deep(repeat("[", max_nesting) + repeat("]", max_nesting)));
    CHECK(is_json_too_deep(repeat("[", max_nesting + 1)));
    CHECK(is_json_too_deep(repeat(R"({"a":)", max_nesting + 1)));
    CHECK_FALSE(is_json_too_deep(repeat("[],", 1000)));
    CHECK_FALSE(is_json_too_deep('"' + repeat("[", 1000) + '"'));
    CHECK_FALSE(is_json_too_deep(R"(["\"[[[[", "\\"])" + repeat("[", max_nesting)));
    CHECK(is_json_too_deep(R"("\\")" + repeat("[", max_nesting + 1)));
}

TEST_CASE("the nesting of CBOR is counted for definite and indefinite items", "[nesting]") {
    for (const char* open : {"\x81", "\x9f", "\xbf\x01", "\xa1\x01", "\x98\x01", "\x82\x01"}) {
        CHECK_FALSE(is_cbor_too_deep(repeat(open, max_nesting)));
        CHECK(is_cbor_too_deep(repeat(open, max_nesting + 1)));
    }
    CHECK_FALSE(is_cbor_too_deep("\x9f" + repeat("\x81\x01", 1000) + "\xff"));
    // Content of a string does not count, and a string that is cut off ends the walk.
    CHECK_FALSE(is_cbor_too_deep("\x59\x03\xe8" + repeat("\x81", 1000)));
    CHECK_FALSE(is_cbor_too_deep("\x5b\xff\xff\xff\xff\xff\xff\xff\xff" + repeat("\x81", 1000)));
    CHECK_FALSE(is_cbor_too_deep(""));
}

TEST_CASE("a deeply nested plan is refused", "[nesting]") {
    CHECK_FALSE(std::holds_alternative<plan>(parse_plan(repeat("[", 300'000) + repeat("]", 300'000))));
    CHECK_FALSE(std::holds_alternative<plan>(
        parse_plan(R"({"version":1,"deployment":)" + repeat(R"({"a":)", 150'000))));
}

} // namespace cornelpier
