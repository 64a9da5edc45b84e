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

TEST_CASE("a reader's update advances the known revision if the states are equal", "[platform]") {
    auto tracker = tracker_at(10);
    CHECK(tracker.on_update({12, same}, same, false) == update_result::up_to_date);
    CHECK(tracker.known_revision() == 12);
    CHECK(tracker.on_update({20, different}, same, false) == update_result::incomplete);
    CHECK(tracker.known_revision() == 12);
    CHECK(tracker.on_update({11, same}, same, false) == update_result::up_to_date);
    CHECK(tracker.known_revision() == 12);
}

TEST_CASE("an update is incomplete while entries are missing", "[platform]") {
    auto tracker = tracker_at(10);
    CHECK(tracker.on_update({12, same}, same, true) == update_result::incomplete);
    CHECK(tracker.known_revision() == 10);
}

TEST_CASE("an update from a reader with a different state does not advance the known revision",
          "[platform]") {
    auto tracker = tracker_at(10);
    CHECK(tracker.on_update({12, same}, different, false) == update_result::incomplete);
    CHECK(tracker.known_revision() == 10);
    // At the same revision no unread change can explain the difference.
    CHECK(tracker.on_update({10, same}, different, false) == update_result::diverged);
}

TEST_CASE("a watch response older than a reader's update is ignored", "[platform]") {
    auto tracker = tracker_at(10);
    REQUIRE(tracker.on_update({12, same}, same, false) == update_result::up_to_date);
    CHECK_FALSE(tracker.advance_to(11));
    CHECK(tracker.advance_to(12));
    CHECK(tracker.advance_to(15));
    CHECK(tracker.known_revision() == 15);
}

TEST_CASE("the published revision advances only when changes are published", "[platform]") {
    auto tracker = tracker_at(10);
    tracker.mark_published();
    REQUIRE(tracker.advance_to(15));
    CHECK(tracker.published_revision() == 10);
    tracker.mark_published();
    CHECK(tracker.published_revision() == 15);
}

} // namespace cornelpier::platform
