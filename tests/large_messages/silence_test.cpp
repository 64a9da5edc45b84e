#include "tests/entry/entry_fixture.hpp"

#include <catch2/catch.hpp>

namespace cornelpier {

using namespace test;

// At 10 Mbit/s, a response of 1 MiB takes 0.9 s. Its link counted as silent after 0.5 s, and the attempt as
// lost, although its response was arriving.
TEST_CASE("a link on which part of a message arrives is not silent", "[large-messages]") {
    entry_fixture it{1};
    const auto run = it.send_order();
    for (int n = 0; n < 10; ++n) {
        it.advance(milliseconds{100});
        it.entry.on_link_progress(run.first);
    }
    CHECK(it.sent<ping>().empty());
    CHECK(it.entry.open_links() == 1);
    it.answer_run(run, verdict::ran, refusal::none, 201);
    CHECK(it.take<answer_caller>().at(0).outcome == verdict::ran);
}

// Progress must not hide that the peer has stopped.
TEST_CASE("a link without further progress is pinged, then replaced", "[large-messages]") {
    entry_fixture it{1};
    const auto run = it.send_order();
    it.advance(milliseconds{250});
    CHECK(it.sent<ping>().size() == 1);
    it.advance(milliseconds{100});
    it.entry.on_link_progress(run.first);
    it.advance(milliseconds{249});
    CHECK(it.sent<ping>().empty());
    it.advance(milliseconds{1});
    CHECK(it.sent<ping>().size() == 1);
    it.advance(milliseconds{250});
    CHECK(it.take<open_link>().size() == 1);
}

TEST_CASE("progress on a link that is not known has no effect", "[large-messages]") {
    entry_fixture it{1};
    it.entry.on_link_progress(link_id{99});
    CHECK(it.entry.open_links() == 0);
}

} // namespace cornelpier
