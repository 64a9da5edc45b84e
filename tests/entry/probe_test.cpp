#include "cornelpier/entry/probe_scheduler.hpp"

#include "tests/entry/entry_fixture.hpp"

#include <catch2/catch.hpp>

namespace cornelpier::test {

// Probes put load on servers that other entries use, so services without traffic must not be probed.
TEST_CASE("probes are sent only while a service has traffic", "[entry][probe]") {
    entry_fixture it{2};
    it.current_plan->services[0].measuring = rate{40};
    it.current_plan->services[0].tail_weight = 1;
    it.publish();
    it.advance(std::chrono::seconds{2});
    CHECK(it.entry.open_links() == 0);

    it.answer_run(it.send_order(), verdict::ran, refusal::none, 201);
    it.advance(milliseconds{500});
    it.open_links();
    it.advance(milliseconds{500});
    const auto probes = it.sent<probe>();
    CHECK(probes.size() >= 6);
    CHECK(probes.size() <= 40); // Two targets, one node's share of 20 per second each.

    it.advance(std::chrono::seconds{1});
    it.sent<probe>();
    it.advance(std::chrono::seconds{5});
    CHECK(it.sent<probe>().empty());
}

TEST_CASE("the probe rate is this entry's share of the measuring budget", "[entry][probe]") {
    const auto current_plan = make_plan(5);
    auto& service = current_plan->services[0];
    service.measuring = rate{20};
    service.tail_weight = 0.5;
    CHECK(probe_scheduler::probe_period(service, 10) == std::chrono::seconds{1});
    service.tail_weight = 0;
    CHECK(probe_scheduler::probe_period(service, 10) == duration::zero());
}

TEST_CASE("the same seed and events give the same actions", "[entry]") {
    const auto trace = [] {
        entry_fixture it{5};
        std::string result;
        for (int i = 0; i < 50; ++i) {
            it.call(i % 3 == 0 ? "POST" : "GET");
            it.advance(milliseconds{7});
            it.open_links();
            for (const auto& current : it.sent<run_request>()) {
                result += it.peers[current.first].value() + ' ';
                it.answer_run(current, verdict::not_run,
                              i % 2 == 0 ? refusal::wait_limit : refusal::overloaded);
            }
        }
        return result;
    };
    CHECK(trace() == trace());
}

} // namespace cornelpier::test
