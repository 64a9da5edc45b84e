#include "cornelpier/base/event_catalogue.hpp"
#include "cornelpier/base/random_source.hpp"

#include <catch2/catch.hpp>

namespace cornelpier {

TEST_CASE("equal seeds give equal sequences", "[random]") {
    random_source first{42};
    random_source second{42};
    for (int n = 0; n < 100; ++n) {
        CHECK(first.next() == second.next());
    }
}

TEST_CASE("bounded numbers stay in range and cover it", "[random]") {
    random_source random{1};
    bool seen[5] = {};
    for (int n = 0; n < 200; ++n) {
        seen[random.below(5)] = true;
    }
    for (const bool it : seen) {
        CHECK(it);
    }
}

TEST_CASE("the event catalogue is sorted by number, and every number is found", "[events]") {
    const auto events = event_catalogue();
    for (std::size_t n = 1; n < events.size(); ++n) {
        CHECK(events[n - 1].number < events[n].number);
    }
    for (const auto& it : events) {
        CHECK(describe(it.number).name == it.name);
    }
}

} // namespace cornelpier
