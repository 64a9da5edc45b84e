#include "platform/listing_position.hpp"

#include <catch2/catch.hpp>

namespace cornelpier::platform {

namespace {

store_page page_of(std::vector<revision> changed, revision current) {
    store_page page;
    page.current = current;
    for (const auto it : changed) {
        page.items.push_back({"k", "v", it});
    }
    return page;
}

} // namespace

TEST_CASE("after current pages the watch begins where the first one was made", "[platform]") {
    listing_position listing;
    listing.begin(read_freshness::current);
    listing.add(page_of({3, 9}, 12));
    listing.add(page_of({14}, 15));
    CHECK(listing.resume_at() == 12);
}

// The store's revision on a stale page may be newer than its items.
TEST_CASE("after stale pages the watch begins at the newest item of the oldest page", "[platform]") {
    listing_position listing;
    listing.begin(read_freshness::stale);
    CHECK(listing.resume_at() == 0);
    listing.add(page_of({3, 9}, 20));
    listing.add(page_of({14, 2}, 20));
    CHECK(listing.resume_at() == 9);
    listing.begin(read_freshness::stale);
    listing.add(page_of({14, 2}, 20));
    CHECK(listing.resume_at() == 14);
    listing.add(page_of({}, 20));
    CHECK(listing.resume_at() == 0);
}

} // namespace cornelpier::platform
