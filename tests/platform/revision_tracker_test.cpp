#include "platform/revision_tracker.hpp"

#include <catch2/catch.hpp>

namespace cornelpier::platform {

namespace {

constexpr std::uint64_t same = 77;
constexpr std::uint64_t different = 78;

constexpr store_era era = 1;
constexpr store_era next_era = 2;

store_position at(revision number) {
    return {era, number};
}

revision_tracker tracker_at(revision current) {
    revision_tracker tracker;
    tracker.restart(at(current));
    return tracker;
}

} // namespace

TEST_CASE("a reader's update advances the known revision if the states are equal", "[platform]") {
    auto tracker = tracker_at(10);
    CHECK(tracker.on_update({at(12), same}, same, false) == update_result::up_to_date);
    CHECK(tracker.known() == at(12));
    CHECK(tracker.on_update({at(20), different}, same, false) == update_result::incomplete);
    CHECK(tracker.known() == at(12));
    CHECK(tracker.on_update({at(11), same}, same, false) == update_result::up_to_date);
    CHECK(tracker.known() == at(12));
}

TEST_CASE("an update is incomplete while entries are missing", "[platform]") {
    auto tracker = tracker_at(10);
    CHECK(tracker.on_update({at(12), same}, same, true) == update_result::incomplete);
    CHECK(tracker.known() == at(10));
}

TEST_CASE("an update of a node that knows more than it has put in force confirms no state",
          "[platform][refusal]") {
    auto tracker = tracker_at(10);
    CHECK(tracker.on_update({at(10), same, update_evidence::none}, same, false) == update_result::incomplete);
    CHECK(tracker.on_update({at(12), same, update_evidence::none}, same, false) == update_result::incomplete);
    CHECK(tracker.known() == at(10));
}

TEST_CASE("an update from a reader with a different state does not advance the known revision",
          "[platform]") {
    auto tracker = tracker_at(10);
    CHECK(tracker.on_update({at(12), same}, different, false) == update_result::incomplete);
    CHECK(tracker.known() == at(10));
    // At the same revision no unread change can explain the difference.
    CHECK(tracker.on_update({at(10), same}, different, false) == update_result::diverged);
}

TEST_CASE("a watch response older than a reader's update is ignored", "[platform]") {
    auto tracker = tracker_at(10);
    REQUIRE(tracker.on_update({at(12), same}, same, false) == update_result::up_to_date);
    CHECK_FALSE(tracker.advance_to(at(11)));
    CHECK(tracker.advance_to(at(12)));
    CHECK(tracker.advance_to(at(15)));
    CHECK(tracker.known() == at(15));
}

TEST_CASE("the published revision advances only when changes are published", "[platform]") {
    auto tracker = tracker_at(10);
    tracker.mark_published();
    REQUIRE(tracker.advance_to(at(15)));
    CHECK(tracker.published() == at(10));
    tracker.mark_published();
    CHECK(tracker.published() == at(15));
}

TEST_CASE("positions of different eras of the store are not compared by their revisions",
          "[platform][restored]") {
    auto tracker = tracker_at(13);
    tracker.restart({next_era, 13});
    // A node of the era before stands at a higher revision, with the same state.
    CHECK(tracker.on_update({at(14), same}, same, false) == update_result::up_to_date);
    CHECK(tracker.known() == store_position{next_era, 13});
    CHECK(tracker.advance_to({next_era, 14}));
    CHECK_FALSE(tracker.advance_to(at(20)));
    CHECK(tracker.on_update({at(14), different}, same, false) == update_result::incomplete);
}

TEST_CASE("a node that hears of a new era knows that it has to list the store again",
          "[platform][restored]") {
    auto tracker = tracker_at(14);
    CHECK_FALSE(tracker.is_behind_era());
    CHECK(tracker.on_update({{next_era, 12}, different}, same, false) == update_result::incomplete);
    CHECK(tracker.is_behind_era());
    CHECK(tracker.known() == at(14));
    // A node with the same state knows all changes of the new era up to that position.
    CHECK(tracker.on_update({{next_era, 12}, same}, same, false) == update_result::up_to_date);
    CHECK_FALSE(tracker.is_behind_era());
    CHECK(tracker.known() == store_position{next_era, 12});
}

} // namespace cornelpier::platform
