#include "tests/server_crashes/crash_fleet.hpp"

#include <catch2/catch.hpp>

namespace cornelpier::testing {

namespace {

using std::chrono::seconds;

} // namespace

TEST_CASE("a request that ends the servers that run it is kept from them", "[deadly]") {
    for (const std::size_t targets : {4, 12}) {
        INFO(targets << " targets");
        crash_fleet it{targets};
        it.set_deadly({"deadly"});
        it.press(seconds{3});
        const time_point from = it.now();
        it.press(seconds{20}, {"deadly"});
        const time_point until = it.now();
        it.press(seconds{4});

        CHECK(it.late_runs("deadly") <= crash_fleet::allowed_late_runs);
        CHECK(it.crashes() <= 3);
        CHECK(it.served_share(from, until) >= 0.95);
    }
}

TEST_CASE("several requests that end servers are kept from them one by one", "[deadly]") {
    crash_fleet it{12};
    const std::vector<std::string> deadly{"deadly-1", "deadly-2", "deadly-3"};
    it.set_deadly({deadly.begin(), deadly.end()});
    it.press(seconds{3});
    const time_point from = it.now();
    it.press(seconds{30}, deadly);
    const time_point until = it.now();
    it.press(seconds{4});
    for (const auto& body : deadly) {
        CHECK(it.late_runs(body) <= crash_fleet::allowed_late_runs);
    }
    CHECK(it.crashes() <= 3 * deadly.size());
    CHECK(it.served_share(from, until) >= 0.95);
}

TEST_CASE("a request that ends servers is recognised although nodes restart in series", "[deadly]") {
    crash_fleet it{8};
    it.set_deadly({"deadly"});
    it.press(seconds{3});
    for (std::size_t n = 0; n < 10; ++n) {
        it.press(seconds{2}, {"deadly"});
        it.nodes().restart(it.target(n % 8));
    }
    it.press(seconds{4});
    CHECK(it.late_runs("deadly") <= crash_fleet::allowed_late_runs);
    CHECK(it.crashes() <= 3);
}

TEST_CASE("a rejected request that ends servers is answered at once and truthfully", "[deadly]") {
    crash_fleet it{4};
    it.set_deadly({"deadly"});
    it.press(seconds{3});
    it.press(seconds{12}, {"deadly"});
    const std::size_t runs_before = it.runs_of("deadly").size();
    it.press(seconds{4}, {"deadly"});
    CHECK(it.runs_of("deadly").size() == runs_before);
    const call_answer last = it.answers_to("deadly").back();
    CHECK(last.status == 503);
    CHECK(last.outcome == verdict::not_run);
    CHECK(last.retry_after >= seconds{1});
}

} // namespace cornelpier::testing
