#include "platform/revision_tracker.hpp"

#include <catch2/catch.hpp>

namespace cornelpier::platform {

namespace {

constexpr std::uint64_t same = 77;
constexpr std::uint64_t different = 78;

revision_tracker tracker_at(revision current) {
    revision_tracker tracker;
    tracker.restart(current);
    return tracker;
}

} // namespace

TEST_CASE("a reader's word moves the position if both believe the same", "[platform]") {
    auto tracker = tracker_at(10);
    CHECK(tracker.on_update({12, same}, same, false) == update_result::up_to_date);
    CHECK(tracker.known_revision() == 12);
    CHECK(tracker.on_update({20, different}, same, false) == update_result::incomplete);
    CHECK(tracker.known_revision() == 12);
    CHECK(tracker.on_update({11, same}, same, false) == update_result::up_to_date);
    CHECK(tracker.known_revision() == 12);
}

TEST_CASE("a node that misses entries reads on until they are back", "[platform]") {
    auto tracker = tracker_at(10);
    CHECK(tracker.on_update({12, same}, same, true) == update_result::incomplete);
    CHECK(tracker.known_revision() == 10);
}

TEST_CASE("a node that believes something else than the reader does not skip changes", "[platform]") {
    auto tracker = tracker_at(10);
    CHECK(tracker.on_update({12, same}, different, false) == update_result::incomplete);
    CHECK(tracker.known_revision() == 10);
    // At one position there is nothing left to read that could explain it.
    CHECK(tracker.on_update({10, same}, different, false) == update_result::diverged);
}

TEST_CASE("an answer of the store that a word has overtaken is no news", "[platform]") {
    auto tracker = tracker_at(10);
    REQUIRE(tracker.on_update({12, same}, same, false) == update_result::up_to_date);
    CHECK_FALSE(tracker.advance_to(11));
    CHECK(tracker.advance_to(12));
    CHECK(tracker.advance_to(15));
    CHECK(tracker.known_revision() == 15);
}

TEST_CASE("others are told only up to what was published", "[platform]") {
    auto tracker = tracker_at(10);
    tracker.mark_published();
    REQUIRE(tracker.advance_to(15));
    CHECK(tracker.published_revision() == 10);
    tracker.mark_published();
    CHECK(tracker.published_revision() == 15);
}

} // namespace cornelpier::platform
