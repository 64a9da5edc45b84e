#include "tests/support/fake_server.hpp"

#include <algorithm>
#include <vector>

namespace cornelpier::testing {

namespace {

constexpr duration loopback_delay{100};
constexpr duration load_history_duration{std::chrono::seconds{10}};

duration scale(duration value, double factor) {
    return from_seconds(to_seconds(value) * factor);
}

} // namespace

std::string echo_response_body(const std::string& request_body) {
    return "<" + request_body + ">";
}

fake_server::fake_server(event_queue& queue, server_settings settings, random_source random,
                         execution_handler on_execution)
    : m_queue(queue), m_settings(settings), m_random(random), m_on_execution(std::move(on_execution)) {}

void fake_server::start(run_id run, const http_request& request, completion_handler done) {
    if (m_down) {
        respond_immediately(std::move(done), server_failure::connect_failed);
        return;
    }
    if (m_shedding) {
        respond_immediately(std::move(done), http_response{503, {}, make_body("shed")});
        return;
    }

    m_on_execution(request);
    if (m_failing) {
        respond_immediately(std::move(done), http_response{500, {}, make_body("failed")});
        return;
    }

    const auto mean_s = to_seconds(m_settings.mean_service_time);
    pending_request it;
    it.request = request;
    it.done = std::move(done);
    it.remaining_time = from_seconds(m_settings.exponential ? m_random.exponential(mean_s) : mean_s);
    it.drop_response = m_responses_to_drop > 0;
    m_responses_to_drop -= it.drop_response ? 1 : 0;
    m_runs.insert_or_assign(run, std::move(it));
    m_waiting_runs.push_back(run);
    fill_slots();
    record_load();
}

void fake_server::respond_immediately(completion_handler done, const outcome& result) {
    m_queue.call_after(2 * loopback_delay, [done = std::move(done), result] { done(result); });
}

void fake_server::cancel(run_id run) {
    const auto it = m_runs.find(run);
    if (it == m_runs.end()) {
        return;
    }

    if (it->second.in_service) {
        --m_busy_slots;
    } else {
        std::erase(m_waiting_runs, run);
    }
    m_runs.erase(it);
    fill_slots();
    record_load();
}

void fake_server::cancel_all() {
    m_runs.clear();
    m_waiting_runs.clear();
    m_busy_slots = 0;
    record_load();
}

std::optional<server_report> fake_server::report() const {
    if (m_down) {
        return std::nullopt;
    }
    const auto in_flight = m_reporting_zero_load ? 0 : past_load(m_report_age);
    server_report result{true, m_draining, static_cast<std::uint32_t>(in_flight)};
    result.advice = m_advice;
    result.warm_up_remaining = std::max(m_cold_until - m_queue.now(), duration::zero());
    return result;
}

std::size_t fake_server::past_load(duration age) const {
    const auto then = m_queue.now() - age;
    const auto it = std::upper_bound(m_load_history.begin(), m_load_history.end(), then,
                                     [](time_point time, const auto& entry) { return time < entry.first; });
    return it == m_load_history.begin() ? 0 : std::prev(it)->second;
}

void fake_server::set_slowdown(double factor) {
    const auto now = m_queue.now();
    for (auto& [run, it] : m_runs) {
        if (it.in_service) {
            it.remaining_time =
                std::max(duration{}, it.remaining_time - scale(now - it.updated_at, 1 / m_slowdown));
        }
    }
    m_slowdown = factor;
    for (auto& [run, it] : m_runs) {
        if (it.in_service) {
            schedule_completion(run, it);
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
        respond_immediately(std::move(it.done), server_failure::connection_lost);
    }
    cancel_all();
}

void fake_server::fill_slots() {
    while (m_busy_slots < m_settings.slots && !m_waiting_runs.empty()) {
        const auto run = m_waiting_runs.front();
        m_waiting_runs.pop_front();
        auto& it = m_runs.at(run);
        it.in_service = true;
        ++m_busy_slots;
        if (m_deadly_bodies.contains(*it.request.body)) {
            it.remaining_time = std::max(it.remaining_time, 2 * m_deadly_delay);
            m_queue.call_after(m_deadly_delay, [this, run] { crash_if_running(run); });
        }
        schedule_completion(run, it);
    }
}

void fake_server::set_deadly(std::set<std::string> bodies, duration delay, duration outage) {
    m_deadly_bodies = std::move(bodies);
    m_deadly_delay = delay;
    m_outage = outage;
}

void fake_server::crash_if_running(run_id run) {
    const auto it = m_runs.find(run);
    if (it == m_runs.end() || !m_deadly_bodies.contains(*it->second.request.body)) {
        return;
    }
    ++m_crashes;
    set_down(true);
    m_queue.call_after(m_outage, [this] { set_down(false); });
}

void fake_server::schedule_completion(run_id run, pending_request& it) {
    it.updated_at = m_queue.now();
    it.timer_version = ++m_last_timer_version;
    const auto timer_version = it.timer_version;
    m_queue.call_after(scale(it.remaining_time, m_slowdown),
                       [this, run, timer_version] { complete(run, timer_version); });
}

void fake_server::complete(run_id run, std::uint64_t timer_version) {
    const auto it = m_runs.find(run);
    if (it == m_runs.end() || it->second.timer_version != timer_version) {
        return;
    }

    auto ended = std::move(it->second);
    m_runs.erase(it);
    --m_busy_slots;
    fill_slots();
    record_load();

    outcome result = server_failure::connection_lost;
    if (!ended.drop_response) {
        result = http_response{200, {}, make_body(echo_response_body(*ended.request.body))};
    }
    m_queue.call_after(loopback_delay, [done = std::move(ended.done), result] { done(result); });
}

void fake_server::record_load() {
    m_load_history.emplace_back(m_queue.now(), m_runs.size());
    while (m_load_history.front().first + load_history_duration < m_queue.now()) {
        m_load_history.pop_front();
    }
}

} // namespace cornelpier::testing
