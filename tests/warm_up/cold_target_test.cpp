#include "tests/entry/entry_fixture.hpp"

#include <catch2/catch.hpp>

#include <set>

namespace cornelpier::test {

// Guards against an entry that takes cold servers for failing ones and ejects them until after the warm-up.
TEST_CASE("refusals of cold servers eject no target", "[warm-up][entry]") {
    constexpr std::size_t targets = 3;
    entry_fixture it{targets};
    std::set<std::string> refused_by;
    for (int n = 0; n < 60; ++n) {
        it.call("GET");
        it.open_links();
        for (auto runs = it.sent<run_request>(); !runs.empty(); runs = it.sent<run_request>()) {
            for (const auto& run : runs) {
                refused_by.insert(it.peers[run.first].value());
                it.answer_run(run, verdict::not_run, refusal::rate_limited);
            }
            it.open_links();
        }
        it.advance(milliseconds{1});
    }
    CHECK(refused_by.size() == targets);
    const auto rejected = it.take<answer_caller>();
    CHECK(rejected.size() == 60);
    for (const auto& answer : rejected) {
        CHECK(answer.outcome == verdict::not_run);
        CHECK(answer.response.status == 503);
    }
    for (const auto& event : it.take<record_event>()) {
        CHECK(event.record.number != event_number::target_ejected);
    }

    it.call("GET");
    const auto runs = it.sent<run_request>();
    REQUIRE(runs.size() == 1);
    it.answer_run(runs[0], verdict::ran, refusal::none, 200);
    CHECK(it.take<answer_caller>().size() == 1);
}

} // namespace cornelpier::test
