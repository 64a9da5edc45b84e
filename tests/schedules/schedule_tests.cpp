#define CATCH_CONFIG_RUNNER
#include "tests/schedules/checker.hpp"
#include "tests/schedules/random_schedule.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <cstdint>
#include <future>
#include <iostream>
#include <string>
#include <vector>

using namespace cornelpier;
using namespace cornelpier::testing;

namespace {

std::uint64_t first_seed = 1;
std::uint64_t seed_count = 2100;
bool print_transcript = false;

constexpr std::size_t worker_count = 4;
constexpr std::size_t max_reported_seeds = 20;

bool any_contains(const std::vector<std::string>& violations, const std::string& text) {
    return std::ranges::any_of(violations,
                               [&](const std::string& it) { return it.find(text) != std::string::npos; });
}

/// Runs schedules with an injected fault until the checker reports the violation.
/// @return whether it does within 60 seeds.
bool checker_detects(const fault_injector& inject_fault, const std::string& violation) {
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        if (any_contains(random_schedule{seed, inject_fault}.run().violations, violation)) {
            return true;
        }
    }
    return false;
}

std::vector<schedule_result> run_schedules() {
    std::vector<schedule_result> results(seed_count);
    std::atomic<std::size_t> next = 0;
    std::vector<std::future<void>> running;
    for (std::size_t n = 0; n < worker_count; ++n) {
        running.push_back(std::async(std::launch::async, [&] {
            for (auto it = next++; it < results.size(); it = next++) {
                results[it] = random_schedule{first_seed + it}.run();
            }
        }));
    }
    for (auto& it : running) {
        it.get();
    }
    return results;
}

void print_failed_schedule(std::uint64_t seed, const schedule_result& it) {
    std::cout << "seed " << seed << " failed\n";
    for (const auto& failure : it.failures) {
        std::cout << "  injected: " << failure << "\n";
    }
    for (const auto& violation : it.violations) {
        std::cout << "  " << violation << "\n";
    }
}

} // namespace

// Guards against combinations of failures that violate a guarantee, such as a duplicate or late answer.
TEST_CASE("random failures never violate a guarantee to a caller") {
    if (print_transcript) {
        random_schedule{first_seed, {}, [](const std::string& line) { std::cout << line << "\n"; }}.run();
    }
    schedule_result totals;
    std::size_t failed = 0;
    const auto results = run_schedules();
    for (std::size_t n = 0; n < results.size(); ++n) {
        const auto& it = results[n];
        totals.calls += it.calls;
        totals.ran += it.ran;
        totals.not_run += it.not_run;
        totals.unknown += it.unknown;
        if (!it.violations.empty() && ++failed <= max_reported_seeds) {
            print_failed_schedule(first_seed + n, it);
        }
    }
    std::cout << "schedules: seeds " << first_seed << " to " << first_seed + seed_count - 1 << ", " << failed
              << " failed; calls " << totals.calls << ", ran " << totals.ran << ", not run " << totals.not_run
              << ", unknown " << totals.unknown << "\n";
    CHECK(failed == 0);
    // Guards against schedules that exercise nothing.
    CHECK(totals.ran > totals.calls / 2);
    CHECK(totals.unknown > 0);
    CHECK(totals.not_run > 0);
}

// Guards against results that depend on memory addresses, hash order or earlier runs.
TEST_CASE("a schedule produces the same transcript in every run") {
    std::vector<std::string> lines;
    const auto record = [&](const std::string& line) { lines.push_back(line); };
    random_schedule{2, {}, record}.run();
    const auto first = std::exchange(lines, {});
    random_schedule{2, {}, record}.run();
    CHECK(first == lines);
}

// The following tests guard against a checker that never fails: each injects a fault that it must report.

TEST_CASE("the checker detects an owner that runs duplicates") {
    CHECK(checker_detects(
        [](node_index, traffic_actions& actions) {
            for (std::size_t n = actions.size(); n-- > 0;) {
                if (const auto* run = std::get_if<start_run>(&actions[n])) {
                    auto copy = *run;
                    copy.run = run_id{run->run.value() + 1'000'000};
                    actions.emplace_back(copy);
                }
            }
        },
        "order executed 2 times"));
}

TEST_CASE("the checker detects an unproved not-run verdict") {
    CHECK(checker_detects(
        [](node_index, traffic_actions& actions) {
            for (auto& it : actions) {
                if (auto* answer = std::get_if<answer_caller>(&it);
                    answer != nullptr && answer->outcome == verdict::unknown) {
                    answer->outcome = verdict::not_run;
                }
            }
        },
        "answered not-run but executed"));
}

TEST_CASE("the checker detects the answer of another call") {
    auto last = std::make_shared<shared_body>(make_body());
    CHECK(checker_detects(
        [last](node_index, traffic_actions& actions) {
            for (auto& it : actions) {
                if (auto* answer = std::get_if<answer_caller>(&it)) {
                    std::swap(*last, answer->response.body);
                }
            }
        },
        "received the answer"));
}

TEST_CASE("the checker detects a truncated answer") {
    CHECK(checker_detects(
        [](node_index, traffic_actions& actions) {
            for (auto& it : actions) {
                if (auto* answer = std::get_if<answer_caller>(&it)) {
                    const auto& body = *answer->response.body;
                    answer->response.body = make_body(body.substr(0, body.size() / 2));
                }
            }
        },
        "received the answer"));
}

TEST_CASE("the checker detects an answer that is missing, late or repeated") {
    const auto drop = [](node_index, traffic_actions& actions) {
        std::erase_if(actions, [](const auto& it) { return std::holds_alternative<answer_caller>(it); });
    };
    CHECK(checker_detects(drop, "never answered"));

    const auto repeat = [](node_index, traffic_actions& actions) {
        for (std::size_t n = actions.size(); n-- > 0;) {
            if (std::holds_alternative<answer_caller>(actions[n])) {
                actions.push_back(actions[n]);
            }
        }
    };
    CHECK(checker_detects(repeat, "answered 2 times"));

    history late_history;
    late_history.calls.push_back({{.name = "c1", .body = "c1"}, true, false, {}, from_seconds(1), {}, false});
    late_history.calls.front().answers.push_back(
        {time_point{from_seconds(1.2)}, 504, verdict::unknown, {}, {}, {}, false});
    CHECK(any_contains(check_history(late_history, time_point{from_seconds(5)}), "answered late"));
}

TEST_CASE("the checker detects measurements above the budget") {
    CHECK(checker_detects(
        [](node_index, traffic_actions& actions) {
            for (std::size_t n = actions.size(); n-- > 0;) {
                if (std::holds_alternative<read_server_report>(actions[n])) {
                    actions.insert(actions.end(), 30, read_server_report{});
                }
            }
        },
        "measurements above the budget"));
}

TEST_CASE("the checker detects a stop that interrupts runs") {
    CHECK(checker_detects(
        [](node_index, traffic_actions& actions) {
            if (std::ranges::any_of(actions,
                                    [](const auto& it) { return std::holds_alternative<start_run>(it); })) {
                actions.emplace_back(drained{});
            }
        },
        "stopped with work in flight"));
}

TEST_CASE("the checker detects new work at a draining target") {
    history records;
    const target_id target{"t-1"};
    records.drains.push_back({target, drain_cause::vm_leaving, time_point{from_seconds(1)}, std::nullopt});
    records.calls.push_back({{.name = "c1", .body = "c1"}, true, false, {}, from_seconds(1), {}, true});
    records.executions.push_back({time_point{from_seconds(3.9)}, target, "c1"});
    CHECK(check_history(records, time_point{from_seconds(9)}).empty());

    records.executions.push_back({time_point{from_seconds(4.1)}, target, "c1"});
    CHECK(any_contains(check_history(records, time_point{from_seconds(9)}), "new work while draining"));
}

int main(int argc, char** argv) {
    Catch::Session session;
    using Catch::clara::Opt;
    session.cli(session.cli() | Opt(first_seed, "seed")["--seed"]("first seed") |
                Opt(seed_count, "count")["--count"]("number of schedules") |
                Opt(print_transcript)["--transcript"]("print the transcript of the first seed"));
    const int status = session.applyCommandLine(argc, argv);
    return status != 0 ? status : session.run();
}
