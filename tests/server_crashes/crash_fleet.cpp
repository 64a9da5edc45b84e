#include "tests/server_crashes/crash_fleet.hpp"

#include "tests/support/single_service.hpp"

#include <algorithm>

namespace cornelpier::testing {

namespace {

constexpr duration mean_service_time = std::chrono::milliseconds{150};
constexpr duration run_until_crash = std::chrono::milliseconds{60};
constexpr int status_ok = 200;
constexpr int first_server_error_status = 500;

/// Calls are scanned for failures back to this many before the last one.
constexpr std::size_t scanned_calls = 400;

} // namespace

crash_fleet::crash_fleet(std::size_t targets) : m_fleet(single_service_settings(targets, mean_service_time)) {
    m_fleet.queue().run_until(now() + std::chrono::seconds{1});
}

void crash_fleet::set_deadly(const std::set<std::string>& bodies) {
    m_deadly = bodies;
    for (const auto& it : m_fleet.targets()) {
        m_fleet.server(it).set_deadly(bodies, run_until_crash, outage);
    }
}

void crash_fleet::press(duration length, const std::vector<std::string>& deadly,
                        const std::vector<std::string>& methods) {
    const time_point end = now() + length;
    const duration interval = from_seconds(1 / normal_load.per_second);
    time_point deadly_at = now();
    for (time_point at = now(); at < end; at += interval) {
        m_fleet.queue().run_until(at);
        repeat_failed();
        send(methods[m_calls / m_fleet.targets().size() % methods.size()],
             "quiet-" + std::to_string(m_calls));
        if (!deadly.empty() && at >= deadly_at) {
            deadly_at += deadly_interval;
            send("GET", deadly[m_deadly_sent++ % deadly.size()]);
        }
    }
    m_fleet.queue().run_until(end);
}

void crash_fleet::send(const std::string& method, const std::string& body,
                       const std::optional<std::string>& key) {
    call_request request;
    request.entry = target(m_calls++ % m_fleet.targets().size());
    request.service = single_service;
    request.method = method;
    request.body = body;
    request.key = key;
    request.hidden_from_transcript = true;
    m_fleet.send_call(std::move(request));
}

void crash_fleet::repeat_failed() {
    const std::size_t count = m_fleet.records().calls.size();
    for (std::size_t n = count > scanned_calls ? count - scanned_calls : 0; n < count; ++n) {
        const call_record it = m_fleet.records().calls[n];
        const bool failed = !it.answers.empty() && it.answers.front().status >= first_server_error_status;
        if (!failed || it.request.method != "GET" || m_repeats.contains(n) || !m_repeated.insert(n).second) {
            continue;
        }
        m_repeats.insert(m_fleet.records().calls.size());
        send(it.request.method, it.request.body);
    }
}

void crash_fleet::crash(std::size_t target) {
    auto& server = m_fleet.server(this->target(target));
    server.set_down(true);
    m_fleet.queue().call_after(outage, [&server] { server.set_down(false); });
}

std::size_t crash_fleet::crashes() {
    std::size_t result = 0;
    for (const auto& it : m_fleet.targets()) {
        result += m_fleet.server(it).crashes();
    }
    return result;
}

std::vector<execution> crash_fleet::runs_of(const std::string& body) const {
    std::vector<execution> result;
    std::ranges::copy_if(m_fleet.records().executions, std::back_inserter(result),
                         [&](const execution& it) { return it.body == body; });
    return result;
}

std::size_t crash_fleet::late_runs(const std::string& body) const {
    const auto runs = runs_of(body);
    if (runs.size() < 3) {
        return 0;
    }
    const time_point from = runs[2].at + run_until_crash + reaction_time;
    return static_cast<std::size_t>(
        std::ranges::count_if(runs, [from](const execution& it) { return it.at > from; }));
}

double crash_fleet::served_share(time_point from, time_point until) const {
    std::set<std::string> sent;
    std::set<std::string> served;
    for (const auto& it : m_fleet.records().calls) {
        if (it.sent < from || it.sent >= until || m_deadly.contains(it.request.body)) {
            continue;
        }
        sent.insert(it.request.body);
        if (!it.answers.empty() && it.answers.front().status == status_ok) {
            served.insert(it.request.body);
        }
    }
    return sent.empty() ? 0 : static_cast<double>(served.size()) / static_cast<double>(sent.size());
}

std::vector<call_answer> crash_fleet::answers_to(const std::string& body) const {
    std::vector<call_answer> result;
    for (const auto& it : m_fleet.records().calls) {
        if (it.request.body == body && !it.answers.empty()) {
            result.push_back(it.answers.front());
        }
    }
    return result;
}

} // namespace cornelpier::testing
