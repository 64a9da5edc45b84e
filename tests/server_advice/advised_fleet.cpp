#include "tests/server_advice/advised_fleet.hpp"

#include "tests/support/single_service.hpp"

#include <algorithm>
#include <cmath>

namespace cornelpier::testing {

namespace {

constexpr duration mean_service_time = std::chrono::milliseconds{100};
constexpr double allowed_ratio = 1.5;
constexpr double allowed_extra = 5;

} // namespace

advised_fleet::advised_fleet(std::size_t targets)
    : advised_fleet(single_service_settings(targets, mean_service_time)) {}

advised_fleet::advised_fleet(fleet_settings settings) : m_fleet(std::move(settings)) {
    m_fleet.queue().run_until(now() + std::chrono::seconds{1});
}

void advised_fleet::limit(std::size_t target, std::optional<rate> value) {
    auto& server = m_fleet.server(this->target(target));
    auto advice = server.advice();
    advice.rate_limit = value;
    server.set_advice(advice);
}

void advised_fleet::leave(std::size_t target) {
    auto& server = m_fleet.server(this->target(target));
    auto advice = server.advice();
    advice.leaving = true;
    server.set_advice(advice);
}

void advised_fleet::press(rate calls, duration length, const std::vector<std::string>& methods) {
    const time_point end = now() + length;
    const duration interval = from_seconds(1 / calls.per_second);
    for (time_point at = now(); at < end; at += interval) {
        m_fleet.queue().run_until(at);
        call_request request;
        request.entry = target(m_calls % m_fleet.targets().size());
        request.service = single_service;
        // Advances the method after each round over the entries, so that every entry gets all methods.
        request.method = methods[m_calls / m_fleet.targets().size() % methods.size()];
        request.body = "quiet-" + std::to_string(m_calls++);
        request.hidden_from_transcript = true;
        m_fleet.send_call(std::move(request));
    }
    m_fleet.queue().run_until(end);
}

std::size_t advised_fleet::arrivals(std::size_t target, time_point from, time_point until) const {
    return static_cast<std::size_t>(
        std::ranges::count_if(m_fleet.records().executions, [&](const execution& it) {
            return it.target == this->target(target) && it.at >= from && it.at < until;
        }));
}

std::size_t advised_fleet::arrivals_from_others(std::size_t target, time_point from, time_point until) const {
    const auto& calls = m_fleet.records().calls;
    return static_cast<std::size_t>(
        std::ranges::count_if(m_fleet.records().executions, [&](const execution& it) {
            const auto call =
                std::ranges::find(calls, it.body, [](const call_record& c) { return c.request.body; });
            return it.target == this->target(target) && it.at >= from && it.at < until &&
                   call->request.entry != it.target;
        }));
}

std::size_t advised_fleet::most_arrivals(std::size_t target, time_point from, time_point until) const {
    std::size_t most = 0;
    for (const auto& it : m_fleet.records().executions) {
        if (it.target == this->target(target) && it.at >= from && it.at < until) {
            most = std::max(most, arrivals(target, it.at, std::min(it.at + window, until)));
        }
    }
    return most;
}

std::size_t advised_fleet::allowed(rate limit) {
    return static_cast<std::size_t>(
        std::floor(allowed_ratio * limit.per_second * to_seconds(window) + allowed_extra));
}

std::vector<call_record> advised_fleet::calls_with(const std::string& method, int status, time_point from,
                                                   time_point until) const {
    std::vector<call_record> result;
    std::ranges::copy_if(m_fleet.records().calls, std::back_inserter(result), [&](const call_record& it) {
        return it.request.method == method && it.sent >= from && it.sent < until && !it.answers.empty() &&
               it.answers.front().status == status;
    });
    return result;
}

} // namespace cornelpier::testing
