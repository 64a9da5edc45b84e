#pragma once

#include "cornelpier/base/random_source.hpp"
#include "cornelpier/node/traffic_events.hpp"

#include "tests/support/event_queue.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>

namespace cornelpier::testing {

/// Capacity and service time of a server without faults.
struct server_settings {
    std::uint32_t slots = 10;
    duration mean_service_time{std::chrono::milliseconds{20}};
    bool exponential = true; ///< Service times are exponentially distributed instead of constant.
};

/// Simulates the server of one target, which serves `slots` requests concurrently and queues the others first
/// in, first out.
class fake_server {
  public:
    using outcome = std::variant<http_response, server_failure>;
    using completion_handler = std::function<void(const outcome&)>;
    using execution_handler = std::function<void(const http_request&)>;

    /// @param on_execution called on arrival of each request that may take effect.
    fake_server(event_queue& queue, server_settings settings, random_source random,
                execution_handler on_execution);

    /// Accepts a request.
    /// @param done called with the outcome, never from within `start`.
    void start(run_id run, const http_request& request, completion_handler done);

    /// Drops a request whose connection was closed, without calling its handler.
    void cancel(run_id run);

    /// Drops all requests, as when the node's process ends and its connections close.
    void cancel_all();

    /// @return the load report, or nothing if the server is down.
    [[nodiscard]] std::optional<server_report> report() const;

    /// @return the number of requests in service or queued.
    [[nodiscard]] std::size_t load() const { return m_runs.size(); }

    /// @return whether the server is up and neither failing nor shedding.
    [[nodiscard]] bool is_healthy() const { return !m_down && !m_failing && !m_shedding; }

    /// @return whether the process has ended.
    [[nodiscard]] bool is_down() const { return m_down; }

    /// @return the current service time factor.
    [[nodiscard]] double slowdown() const { return m_slowdown; }

    [[nodiscard]] const server_settings& settings() const { return m_settings; }

    /// Sets the factor for the remaining service time of current requests and for that of new ones.
    void set_slowdown(double factor);

    /// Reduces the slowdown from `factor` to 1 in ten equal steps over `length`.
    void cold_start(double factor, duration length);

    /// Answers 500 immediately. The request counts as executed, since a 500 does not prove otherwise.
    void set_failing(bool value) { m_failing = value; }

    /// Answers 503 without executing the request.
    void set_shedding(bool value) { m_shedding = value; }

    /// Executes the next `count` requests but closes their connections before the response is complete.
    void drop_responses(std::uint32_t count) { m_responses_to_drop = count; }

    /// Makes requests with these bodies end the process, as if taken down, `delay` after their service began.
    /// It is up again after `outage`.
    void set_deadly(std::set<std::string> bodies, duration delay, duration outage);

    /// @return the number of times that a deadly request ended the process.
    [[nodiscard]] std::size_t crashes() const { return m_crashes; }

    /// Takes the server down, which fails current requests and refuses connections, or brings it back up.
    void set_down(bool value);

    /// Sets what the server asks of its callers in all its responses.
    void set_advice(server_advice value) { m_advice = value; }
    [[nodiscard]] const server_advice& advice() const { return m_advice; }

    /// Makes the load report say that the server is cold for `length` from now on.
    void turn_cold(duration length) { m_cold_until = m_queue.now() + length; }
    [[nodiscard]] time_point cold_until() const { return m_cold_until; }

    /// Sets the draining state in the load report.
    void set_draining(bool value) { m_draining = value; }
    [[nodiscard]] bool draining() const { return m_draining; }

    /// Makes the load report lag by `age`, at most 10 s.
    void set_report_age(duration age) { m_report_age = age; }

    /// Makes the load report claim no requests in flight.
    void set_reporting_zero_load(bool value) { m_reporting_zero_load = value; }

  private:
    struct pending_request {
        http_request request;
        completion_handler done;
        duration remaining_time{};
        time_point updated_at;
        std::uint64_t timer_version = 0;
        bool in_service = false;
        bool drop_response = false;
    };

    /// @return the value of `load` at a past time, at most 10 s ago.
    [[nodiscard]] std::size_t past_load(duration age) const;
    void respond_immediately(completion_handler done, const outcome& result);
    void fill_slots();
    void crash_if_running(run_id run);
    void schedule_completion(run_id run, pending_request& it);
    void complete(run_id run, std::uint64_t timer_version);
    void record_load();

    event_queue& m_queue;
    server_settings m_settings;
    random_source m_random;
    execution_handler m_on_execution;
    std::map<run_id, pending_request> m_runs;
    std::deque<run_id> m_waiting_runs;
    std::size_t m_busy_slots = 0;
    std::uint64_t m_last_timer_version = 0;
    std::deque<std::pair<time_point, std::size_t>> m_load_history;
    double m_slowdown = 1;
    std::uint32_t m_responses_to_drop = 0;
    duration m_report_age{};
    bool m_failing = false;
    bool m_shedding = false;
    bool m_down = false;
    bool m_draining = false;
    bool m_reporting_zero_load = false;
    std::set<std::string> m_deadly_bodies;
    duration m_deadly_delay{};
    duration m_outage{};
    std::size_t m_crashes = 0;
    server_advice m_advice;
    time_point m_cold_until;
};

/// @return the body of the response to a request, which contains the request's body.
std::string echo_response_body(const std::string& request_body);

} // namespace cornelpier::testing
