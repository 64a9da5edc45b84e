#include "cornelpier/routing/baseline_policies.hpp"

#include "tests/entry/entry_fixture.hpp"

#include <catch2/catch.hpp>

#include <set>

namespace cornelpier::test {

namespace {

std::pair<link_id, run_request> send_lookup(entry_fixture& it) {
    it.call("GET");
    it.open_links();
    return it.sent<run_request>().at(0);
}

/// @return the run that follows a refusal, if there is one.
std::optional<std::pair<link_id, run_request>> next_run(entry_fixture& it) {
    it.open_links();
    const auto runs = it.sent<run_request>();
    return runs.empty() ? std::nullopt : std::optional{runs[0]};
}

} // namespace

TEST_CASE("three attempts carry a wait limit and the fourth may be queued", "[entry][retry]") {
    entry_fixture it{3};
    it.call("GET");
    it.open_links();
    auto current = it.sent<run_request>().at(0);
    for (int i = 0; i < 3; ++i) {
        CHECK(current.second.wait_limit);
        it.answer_run(current, verdict::not_run, refusal::wait_limit);
        const auto next = next_run(it);
        REQUIRE(next);
        CHECK_FALSE(next->second.outer_retry);
        current = *next;
    }
    CHECK_FALSE(current.second.wait_limit);
    CHECK(it.count(metric::rechoice) == 3);
}

TEST_CASE("after a refusal that reports a longer wait the other target is chosen", "[entry][retry]") {
    entry_fixture it{2};
    const auto first = send_lookup(it);
    run_response reply{first.second.attempt, verdict::not_run, refusal::wait_limit, {}, {}, {}, {}};
    reply.load = it.load_of(it.peers[first.first]);
    reply.load->expected_wait = milliseconds{50};
    it.entry.on_message(first.first, reply);
    const auto next = next_run(it);
    REQUIRE(next);
    CHECK(it.peers[next->first] != it.peers[first.first]);
}

TEST_CASE("a lookup whose link was lost is sent to another target as a retry", "[entry][retry]") {
    entry_fixture it{2};
    const auto first = send_lookup(it);
    it.entry.on_link_closed(first.first);
    const auto next = next_run(it);
    REQUIRE(next);
    CHECK(next->second.outer_retry);
    CHECK(it.peers[next->first] != it.peers[first.first]);
    CHECK(it.count(metric::retry) == 1);
}

// If each of up to eight nested calls retried, the load on the innermost service would multiply.
TEST_CASE("a call that belongs to a retried outer call is not retried", "[entry][retry]") {
    entry_fixture it{2};
    it.outer_retry = true;
    const auto first = send_lookup(it);
    CHECK(first.second.outer_retry);
    it.answer_run(first, verdict::unknown, refusal::none, 500);
    CHECK_FALSE(next_run(it));
    CHECK(it.take<answer_caller>().at(0).response.status == 500);
}

TEST_CASE("retries stop when the budget of the service is empty", "[entry][retry]") {
    entry_fixture it{2};
    std::size_t retries = 0;
    for (int i = 0; i < 30; ++i) {
        auto current = std::optional{send_lookup(it)};
        while (current) {
            it.answer_run(*current, verdict::not_run, refusal::server_refused, 503);
            current = next_run(it);
            retries += current ? 1 : 0;
        }
    }
    // Ten initial tokens and a tenth per call.
    CHECK(retries <= 13);
    CHECK(it.take<answer_caller>().size() == 30);
}

TEST_CASE("the verdict covers all attempts", "[entry][retry]") {
    entry_fixture it{3};
    const auto first = send_lookup(it);

    SECTION("unknown if one attempt has no proof") {
        it.entry.on_link_closed(first.first);
        for (auto next = next_run(it); next; next = next_run(it)) {
            it.answer_run(*next, verdict::not_run, refusal::overloaded);
        }
        const auto answers = it.take<answer_caller>();
        REQUIRE(answers.size() == 1);
        CHECK(answers[0].outcome == verdict::unknown);
        CHECK(answers[0].token.ends_with(".1"));
    }
    SECTION("not run if every attempt was refused") {
        it.answer_run(first, verdict::not_run, refusal::overloaded);
        it.answer_run(*next_run(it), verdict::not_run, refusal::overloaded);
        it.answer_run(*next_run(it), verdict::not_run, refusal::overloaded);
        const auto answers = it.take<answer_caller>();
        REQUIRE(answers.size() == 1);
        CHECK(answers[0].outcome == verdict::not_run);
        CHECK(answers[0].response.status == 503);
    }
    SECTION("not run at the deadline if nothing was sent") {
        it.answer_run(first, verdict::not_run, refusal::overloaded);
        it.advance(std::chrono::seconds{2});
        const auto answers = it.take<answer_caller>();
        REQUIRE(answers.size() == 1);
        CHECK(answers[0].outcome == verdict::not_run);
    }
}

// Callers that retry at the same time would overload the service again.
TEST_CASE("Retry-After has jitter and the answer is not delayed", "[entry][retry]") {
    entry_fixture it{1};
    std::set<duration> advice;
    for (int i = 0; i < 20; ++i) {
        const auto current = send_lookup(it);
        it.answer_run(current, verdict::not_run, refusal::overloaded);
        const auto answers = it.take<answer_caller>();
        REQUIRE(answers.size() == 1);
        CHECK(answers[0].retry_after >= std::chrono::seconds{1});
        CHECK(answers[0].retry_after <= std::chrono::seconds{2});
        advice.insert(answers[0].retry_after);
    }
    CHECK(advice.size() > 15);
}

TEST_CASE("a slow lookup is hedged and the slower attempt is cancelled", "[entry][hedge]") {
    entry_fixture it{2};
    for (int i = 0; i < 60; ++i) {
        const auto current = send_lookup(it);
        it.advance(milliseconds{1});
        it.answer_run(current, verdict::ran, refusal::none, 200);
    }
    it.take<answer_caller>();

    const auto slow = send_lookup(it);
    it.advance(milliseconds{5});
    const auto hedge = next_run(it);
    REQUIRE(hedge);
    CHECK(it.peers[hedge->first] != it.peers[slow.first]);
    CHECK(hedge->second.attempt.request == slow.second.attempt.request);

    it.answer_run(*hedge, verdict::ran, refusal::none, 200);
    CHECK(it.sent<cancel_attempt>().at(0).second.attempt == slow.second.attempt);
    it.answer_run(slow, verdict::ran, refusal::none, 200);
    CHECK(it.take<answer_caller>().size() == 1);
}

TEST_CASE("hedges stay within their budget and orders are never hedged", "[entry][hedge]") {
    entry_fixture it{2};
    for (int i = 0; i < 60; ++i) {
        const auto current = send_lookup(it);
        it.advance(milliseconds{1});
        it.answer_run(current, verdict::ran, refusal::none, 200);
    }
    it.call("POST");
    it.advance(milliseconds{20});
    CHECK(it.sent<run_request>().size() == 1);

    it.count(metric::hedge);
    for (int i = 0; i < 100; ++i) {
        it.call("GET");
        it.open_links();
        it.advance(milliseconds{5});
        for (const auto& current : it.sent<run_request>()) {
            it.answer_run(current, verdict::ran, refusal::none, 200);
        }
    }
    CHECK(it.count(metric::hedge) <= 10); // Five initial tokens and a twentieth per call.
}

// A leaving or draining target gets no new work, but a wrong report must not make the service unavailable.
TEST_CASE("leaving targets are used only if there is no other", "[entry][retry]") {
    entry_fixture it{2};
    it.vm_states[target_id{"shop-1"}] = vm_state::leaving;
    it.publish();
    for (int i = 0; i < 10; ++i) {
        CHECK(it.peers[send_lookup(it).first] == target_id{"shop-2"});
    }
    it.vm_states[target_id{"shop-2"}] = vm_state::leaving;
    it.publish();
    it.call("GET");
    it.open_links();
    CHECK(it.sent<run_request>().size() == 1);
}

// If all targets are in slow start, none may be skipped. A skipped target still counts for the wait limit.
TEST_CASE("slow start is relative to the other targets", "[entry][retry]") {
    entry_fixture it{2};
    it.uptime = milliseconds{100};
    std::set<target_id> used;
    for (int i = 0; i < 40; ++i) {
        const auto current = send_lookup(it);
        CHECK(current.second.wait_limit);
        used.insert(it.peers[current.first]);
        it.answer_run(current, verdict::ran, refusal::none, 200);
    }
    CHECK(used.size() == 2);
}

// An unreachable target must not stay unused after it recovers, and no call may wait for its connection.
TEST_CASE("a target without a link is skipped and its link is reopened", "[entry][retry]") {
    entry_fixture it{2};
    it.call("GET");
    const auto lost = it.take<open_link>().at(0);
    it.entry.on_link_closed(lost.link);
    it.open_links();
    it.answer_run(it.sent<run_request>().at(0), verdict::ran, refusal::none, 200);

    const auto second = send_lookup(it);
    CHECK(it.peers[second.first] != lost.peer);
    it.advance(milliseconds{80});
    CHECK(it.take<open_link>().at(0).peer == lost.peer);
}

// A reading from before the drain was cancelled would keep the target unused forever.
TEST_CASE("a draining target is skipped for a few seconds only", "[entry][retry]") {
    entry_fixture it{2};
    const auto first = send_lookup(it);
    const target_id drained = it.peers[first.first];
    auto load = it.load_of(drained);
    load.state = node_state::draining;
    it.entry.on_message(first.first, load);
    it.entry.on_abandoned({call_id{it.last_call}});

    const auto count_chosen = [&] {
        std::size_t chosen = 0;
        for (int i = 0; i < 20; ++i) {
            const auto current = send_lookup(it);
            chosen += it.peers[current.first] == drained ? 1 : 0;
            it.answer_run(current, verdict::ran, refusal::none, 200);
        }
        return chosen;
    };
    CHECK(count_chosen() == 0);
    it.advance(std::chrono::seconds{6});
    CHECK(count_chosen() > 0);
}

// Without ejection, a server that fails fast looks idle and attracts all traffic.
TEST_CASE("a target that fails fast is ejected and gets a trial request later", "[entry][health]") {
    entry_options options;
    options.make_policy = [] { return any_balancing_policy{round_robin_policy{}}; };
    entry_fixture it{3, options};
    const target_id bad{"shop-1"};
    const auto serve = [&](int n) {
        std::size_t sent_to_bad = 0;
        for (int i = 0; i < n; ++i) {
            it.call("GET");
            it.open_links();
            for (auto runs = it.sent<run_request>(); !runs.empty(); runs = it.sent<run_request>()) {
                const bool fails = it.peers[runs[0].first] == bad;
                sent_to_bad += fails ? 1 : 0;
                it.answer_run(runs[0], fails ? verdict::not_run : verdict::ran,
                              fails ? refusal::server_down : refusal::none, fails ? 0 : 200);
                it.open_links();
            }
        }
        return sent_to_bad;
    };
    CHECK(serve(100) <= 5);
    it.advance(milliseconds{900});
    CHECK(serve(20) == 0);
    it.advance(milliseconds{200});
    CHECK(serve(20) == 1); // One trial request, which fails.
}

// A late answer to a refused attempt must not end the call while its next attempt is running.
TEST_CASE("a second answer to a refused attempt is dropped", "[entry][retry]") {
    entry_fixture it{2};
    it.call("GET");
    it.open_links();
    const auto first = it.sent<run_request>().at(0);
    it.answer_run(first, verdict::not_run, refusal::wait_limit);
    const auto second = it.sent<run_request>().at(0);
    it.take<record_metric>();

    it.answer_run(first, verdict::ran, refusal::none, 200);
    CHECK(it.take<answer_caller>().empty());
    CHECK(it.count(metric::answer_discarded) == 1);

    it.answer_run(second, verdict::ran, refusal::none, 200);
    CHECK(it.take<answer_caller>().size() == 1);
}

} // namespace cornelpier::test
