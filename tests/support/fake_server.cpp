#include "tests/support/fake_server.hpp"

#include <algorithm>
#include <vector>

namespace cornelpier::testing {

namespace {

constexpr duration loopback_delay{100};
constexpr duration load_history_length{std::chrono::seconds{10}};

duration scaled(duration value, double factor) {
    return from_seconds(to_seconds(value) * factor);
}

} // namespace

std::string echo_of(const std::string& request_body) {
    return "<" + request_body + ">";
}

fake_server::fake_server(event_queue& queue, server_settings settings, random_source random,
                         on_execution executed)
    : m_queue(queue), m_settings(settings), m_random(random), m_executed(std::move(executed)) {}

void fake_server::start(run_id run, const http_request& request, on_end done) {
    if (m_down) {
        fail_at_once(std::move(done), server_failure::connect_failed);
        return;
    }
    if (m_shedding) {
        fail_at_once(std::move(done), http_response{503, {}, make_body("shed")});
        return;
    }

    m_executed(request);
    if (m_failing) {
        fail_at_once(std::move(done), http_response{500, {}, make_body("failed")});
        return;
    }

    const auto mean = to_seconds(m_settings.mean);
    work it;
    it.request = request;
    it.done = std::move(done);
    it.left = from_seconds(m_settings.exponential ? m_random.exponential(mean) : mean);
    it.lose_answer = m_answers_to_lose > 0;
    m_answers_to_lose -= it.lose_answer ? 1 : 0;
    m_runs.insert_or_assign(run, std::move(it));
    m_waiting.push_back(run);
    fill_slots();
    note_load();
}

void fake_server::fail_at_once(on_end done, const outcome& result) {
    m_queue.call_after(2 * loopback_delay, [done = std::move(done), result] { done(result); });
}

void fake_server::cancel(run_id run) {
    const auto it = m_runs.find(run);
    if (it == m_runs.end()) {
        return;
    }

    if (it->second.active) {
        --m_active;
    } else {
        std::erase(m_waiting, run);
    }
    m_runs.erase(it);
    fill_slots();
    note_load();
}

void fake_server::cancel_all() {
    m_runs.clear();
    m_waiting.clear();
    m_active = 0;
    note_load();
}

std::optional<server_report> fake_server::report() const {
    if (m_down) {
        return std::nullopt;
    }
    const auto in_flight = m_lying ? 0 : load_before(m_report_age);
    return server_report{true, m_draining, static_cast<std::uint32_t>(in_flight)};
}

std::size_t fake_server::load_before(duration age) const {
    const auto then = m_queue.now() - age;
    const auto it = std::upper_bound(m_load_history.begin(), m_load_history.end(), then,
                                     [](time_point time, const auto& entry) { return time < entry.first; });
    return it == m_load_history.begin() ? 0 : std::prev(it)->second;
}

void fake_server::set_slowdown(double factor) {
    const auto now = m_queue.now();
    for (auto& [run, it] : m_runs) {
        if (it.active) {
            it.left = std::max(duration{}, it.left - scaled(now - it.updated, 1 / m_slowdown));
        }
    }
    m_slowdown = factor;
    for (auto& [run, it] : m_runs) {
        if (it.active) {
            schedule(run, it);
        }
    }
}

void fake_server::cold_start(double factor, duration length) {
    constexpr int steps = 10;
    for (int n = 0; n <= steps; ++n) {
        const auto value = 1 + (factor - 1) * (steps - n) / steps;
        m_queue.call_after(length * n / steps, [this, value] { set_slowdown(value); });
    }
}

void fake_server::set_down(bool value) {
    m_down = value;
    if (!value) {
        return;
    }
    for (auto& [run, it] : m_runs) {
        fail_at_once(std::move(it.done), server_failure::response_incomplete);
    }
    cancel_all();
}

void fake_server::fill_slots() {
    while (m_active < m_settings.slots && !m_waiting.empty()) {
        const auto run = m_waiting.front();
        m_waiting.pop_front();
        auto& it = m_runs.at(run);
        it.active = true;
        ++m_active;
        schedule(run, it);
    }
}

void fake_server::schedule(run_id run, work& it) {
    it.updated = m_queue.now();
    it.version = ++m_version;
    const auto version = it.version;
    m_queue.call_after(scaled(it.left, m_slowdown), [this, run, version] { finish(run, version); });
}

void fake_server::finish(run_id run, std::uint64_t version) {
    const auto it = m_runs.find(run);
    if (it == m_runs.end() || it->second.version != version) {
        return;
    }

    auto ended = std::move(it->second);
    m_runs.erase(it);
    --m_active;
    fill_slots();
    note_load();

    outcome result = server_failure::response_incomplete;
    if (!ended.lose_answer) {
        result = http_response{200, {}, make_body(echo_of(*ended.request.body))};
    }
    m_queue.call_after(loopback_delay, [done = std::move(ended.done), result] { done(result); });
}

void fake_server::note_load() {
    m_load_history.emplace_back(m_queue.now(), m_runs.size());
    while (m_load_history.front().first + load_history_length < m_queue.now()) {
        m_load_history.pop_front();
    }
}

} // namespace cornelpier::testing
