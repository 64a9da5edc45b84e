#pragma once

#include "cornelpier/base/random_source.hpp"
#include "cornelpier/node/traffic_events.hpp"

#include "tests/support/event_queue.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <variant>

namespace cornelpier::testing {

/// How a server works when nothing is wrong.
struct server_settings {
    std::uint32_t slots = 10;
    duration mean_service_time{std::chrono::milliseconds{20}};
    bool exponential = true; ///< Otherwise every request takes the mean.
};

/// Server of one target: works on `slots` requests at a time and queues the rest in order of arrival.
class fake_server {
  public:
    using outcome = std::variant<http_response, server_failure>;
    using completion_handler = std::function<void(const outcome&)>;
    using execution_handler = std::function<void(const http_request&)>;

    /// @param executed called for each request that may have taken effect, when it arrives.
    fake_server(event_queue& queue, server_settings settings, random_source random,
                execution_handler on_execution);

    /// Takes a request. It is not called back in this call.
    void start(run_id run, const http_request& request, completion_handler done);

    /// Forgets a request whose connection was closed.
    void cancel(run_id run);

    /// Closes all connections, as when the node's process ends.
    void cancel_all();

    /// @return the report, or nothing if the server is down.
    [[nodiscard]] std::optional<server_report> report() const;

    /// @return requests being worked on or waiting.
    [[nodiscard]] std::size_t load() const { return m_runs.size(); }

    /// @return whether it would answer properly.
    [[nodiscard]] bool is_healthy() const { return !m_down && !m_failing && !m_shedding; }

    /// @return the factor in force.
    [[nodiscard]] double slowdown() const { return m_slowdown; }

    [[nodiscard]] const server_settings& settings() const { return m_settings; }

    /// Multiplies the time that is left of current and future requests.
    void set_slowdown(double factor);

    /// Starts slow; the factor falls from `factor` to 1 in ten steps.
    void cold_start(double factor, duration length);

    /// Answers 500 at once. The request counts as executed, as nothing proves otherwise.
    void set_failing(bool value) { m_failing = value; }

    /// Answers 503 without executing.
    void set_shedding(bool value) { m_shedding = value; }

    /// Executes the next requests but cuts the connection before the answer is complete.
    void drop_responses(std::uint32_t count) { m_responses_to_drop = count; }

    /// Down: current requests are lost, and no connection can be made.
    void set_down(bool value);

    /// What the report says.
    void set_draining(bool value) { m_draining = value; }
    [[nodiscard]] bool draining() const { return m_draining; }
    void set_report_age(duration age) { m_report_age = age; }
    void set_reporting_zero_load(bool value) { m_reporting_zero_load = value; }

  private:
    struct pending_request {
        http_request request;
        completion_handler done;
        duration remaining_time{};
        time_point updated_at;
        std::uint64_t timer_version = 0;
        bool active = false;
        bool drop_response = false;
    };

    /// @return `load` as it was some time ago, at most 10 s.
    [[nodiscard]] std::size_t past_load(duration age) const;
    void respond_immediately(completion_handler done, const outcome& result);
    void fill_slots();
    void schedule(run_id run, pending_request& it);
    void finish(run_id run, std::uint64_t timer_version);
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
};

/// @return the body with which a server answers a request; it names the request.
std::string echo_response_body(const std::string& request_body);

} // namespace cornelpier::testing
