#include "tests/schedules/checker.hpp"

#include "tests/support/fake_server.hpp"

#include <algorithm>
#include <unordered_map>

namespace cornelpier::testing {

namespace {

constexpr duration answer_tolerance{std::chrono::milliseconds{100}};
/// Network time between caller and entry, which the deadline at the entry does not include.
constexpr duration caller_round_trip{std::chrono::milliseconds{6}};
/// Time within which new executions must stop after a drain cause appears.
constexpr duration drain_reaction_time{std::chrono::seconds{3}};

/// Calls and executions of one request, including its repeats with the same idempotency key.
struct request_group {
    std::vector<const call_record*> calls;
    std::size_t executions = 0;
};

using violations = std::vector<std::string>;

std::string format_at(time_point time) {
    return " at " + std::to_string(to_seconds(time.time_since_epoch())) + " s";
}

std::unordered_map<std::string, request_group> group_by_body(const history& records) {
    std::unordered_map<std::string, request_group> result;
    for (const auto& call : records.calls) {
        if (!call.is_fate_request) {
            result[call.request.body].calls.push_back(&call);
        }
    }
    for (const auto& it : records.executions) {
        ++result[it.body].executions;
    }
    return result;
}

bool answered_not_run(const call_record& call) {
    return !call.answers.empty() && call.answers.front().outcome == verdict::not_run;
}

void check_executions(const std::string& body, const request_group& it, violations& found) {
    if (it.calls.empty()) {
        found.push_back(body + ": executed but never sent");
        return;
    }
    if (!it.calls.front()->idempotent && it.executions > 1) {
        found.push_back(body + ": order executed " + std::to_string(it.executions) + " times");
    }
    if (it.executions > 0 &&
        std::ranges::all_of(it.calls, [](const auto* call) { return answered_not_run(*call); })) {
        found.push_back(body + ": answered not-run but executed");
    }
}

void check_answer(const call_record& call, std::size_t executions, violations& found) {
    const auto& answer = call.answers.front();
    const auto& name = call.request.name;
    if (answer.outcome == verdict::ran && executions == 0) {
        found.push_back(name + ": answered ran but never executed");
    }
    // Status 409 reports that the request ran but its response is no longer stored.
    const bool carries_answer = answer.outcome == verdict::ran && answer.status != 409;
    if (carries_answer && answer.body != echo_response_body(call.request.body)) {
        found.push_back(name + ": received the answer " + answer.body + format_at(answer.at));
    }
}

void check_answer_deadline(const call_record& call, time_point end, violations& found) {
    const auto& name = call.request.name;
    if (call.answers.size() > 1) {
        found.push_back(name + ": answered " + std::to_string(call.answers.size()) + " times");
    }
    const auto latest = call.sent + call.deadline + caller_round_trip + answer_tolerance;
    if (call.answer_optional || latest > end) {
        return;
    }
    if (call.answers.empty()) {
        found.push_back(name + ": never answered");
        return;
    }
    if (call.answers.front().at > latest) {
        found.push_back(name + ": answered late" + format_at(call.answers.front().at));
    }
}

void check_measuring_budget(const history& records, violations& found) {
    constexpr duration window{std::chrono::seconds{1}};
    for (const auto& [target, times] : records.measurements) {
        const auto budget = records.measuring_budgets.at(target).per_second;
        std::size_t first = 0;
        for (std::size_t n = 0; n < times.size(); ++n) {
            while (times[first] + window <= times[n]) {
                ++first;
            }
            if (static_cast<double>(n - first + 1) > budget) {
                found.push_back(target.value() + ": measurements above the budget" + format_at(times[n]));
                break;
            }
        }
    }
}

void check_drains(const history& records, violations& found) {
    for (const auto& period : records.drains) {
        const auto from = period.from + drain_reaction_time;
        for (const auto& it : records.executions) {
            if (it.target == period.target && it.at > from && (!period.until || it.at < *period.until)) {
                found.push_back(it.target.value() + ": new work while draining" + format_at(it.at));
                break;
            }
        }
    }
    for (const auto& it : records.interrupted_work) {
        found.push_back("stopped with work in flight: " + it);
    }
}

} // namespace

std::vector<std::string> check_history(const history& records, time_point end) {
    violations found;
    const auto groups = group_by_body(records);
    for (const auto& call : records.calls) {
        check_answer_deadline(call, end, found);
        if (!call.is_fate_request && !call.answers.empty()) {
            check_answer(call, groups.at(call.request.body).executions, found);
        }
    }
    for (const auto& [body, it] : groups) {
        check_executions(body, it, found);
    }
    check_measuring_budget(records, found);
    check_drains(records, found);
    std::ranges::sort(found);
    return found;
}

} // namespace cornelpier::testing
