#include "tests/server_crashes/crash_fleet.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <optional>
#include <string>

namespace cornelpier::testing {

namespace {

using std::chrono::milliseconds;
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

TEST_CASE("orders that end servers are kept from them, with and without a key", "[deadly]") {
    const bool is_keyed = GENERATE(false, true);
    crash_fleet it{8};
    it.set_deadly({"deadly"});
    it.press(seconds{130}); // Longer than the memory for keys: a new owner cannot tell whether a key is new.
    const time_point from = it.now();
    for (int n = 0; n < 40; ++n) {
        it.send("POST", "deadly", is_keyed ? std::optional{"key-" + std::to_string(n)} : std::nullopt);
        it.press(milliseconds{500});
    }
    CHECK(it.runs_of("deadly").size() >= 2);
    CHECK(it.late_runs("deadly") <= crash_fleet::allowed_late_runs);
    CHECK(it.crashes() <= 3);
    CHECK(it.served_share(from, it.now() - seconds{1}) >= 0.95);
    for (const auto& answer : it.answers_to("deadly")) {
        CHECK(answer.status != 200);
    }
}

TEST_CASE("a frequent request stays in use while servers end for reasons of their own", "[deadly]") {
    crash_fleet it{4};
    it.press(seconds{3});
    for (int n = 0; n < 400; ++n) {
        it.send("GET", "frequent");
        it.press(milliseconds{50});
        if (n % 80 == 40) {
            it.crash(static_cast<std::size_t>(n / 80) % 4);
        }
        if (n == 250) {
            it.crash(0);
            it.crash(2);
        }
    }
    std::size_t served = 0;
    const auto answers = it.answers_to("frequent");
    for (const auto& answer : answers) {
        served += answer.status == 200 ? 1 : 0;
        CHECK(answer.retry_after < seconds{5});
    }
    CHECK(static_cast<double>(served) >= 0.95 * static_cast<double>(answers.size()));
}

TEST_CASE("a request that ends servers is tried again after its quarantine", "[deadly]") {
    crash_fleet it{4};
    it.set_deadly({"deadly"});
    it.press(seconds{3});
    it.press(seconds{10}, {"deadly"});
    const std::size_t crashes = it.crashes();
    it.set_deadly({});
    it.press(seconds{60});
    it.press(seconds{5}, {"deadly"});
    CHECK(it.crashes() == crashes);
    CHECK(it.answers_to("deadly").back().status == 200);
}

TEST_CASE("a request is tried again after its quarantine although nodes restart", "[deadly]") {
    crash_fleet it{4};
    it.set_deadly({"deadly"});
    it.press(seconds{3});
    it.press(seconds{10}, {"deadly"});
    it.set_deadly({});
    it.press(seconds{62});
    for (std::size_t n = 0; n < 4; ++n) {
        it.nodes().restart(it.target(n));
        it.press(seconds{2});
    }
    it.press(seconds{5}, {"deadly"});
    CHECK(it.answers_to("deadly").back().status == 200);
}

TEST_CASE("entries reject a request in quarantine without asking an owner", "[deadly]") {
    crash_fleet it{4};
    it.set_deadly({"deadly"});
    it.press(seconds{3});
    it.press(seconds{10}, {"deadly"});
    const auto calls = it.nodes().records().calls;
    const auto last = std::ranges::find(calls.rbegin(), calls.rend(), "deadly",
                                        [](const call_record& c) { return c.request.body; });
    REQUIRE(last != calls.rend());
    REQUIRE(last->answers.size() == 1);
    // The way from the caller to the entry and back, and nothing else.
    CHECK(last->answers.front().at - last->sent == milliseconds{6});
}

} // namespace cornelpier::testing
