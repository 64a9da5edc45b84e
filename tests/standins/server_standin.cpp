/// Stand-in for a server with slots, a queue and random service times. Requests below `/control` inject
/// faults.

#include "http_service.hpp"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <deque>
#include <iostream>
#include <list>
#include <map>
#include <random>

namespace cornelpier::standins {

namespace asio = boost::asio;
using nlohmann::json;
using steady = std::chrono::steady_clock;

struct server_options {
    std::string listen;
    std::string name = "server";
    std::size_t slots = 10;
    std::size_t queue = 1000;   ///< Queue length from which requests are rejected with 503.
    double service_ms = 2;      ///< Mean of the exponentially distributed service time.
    double cold_start_ms = 0;   ///< Period after the start with threefold service times.
    double report_lag_ms = 100; ///< Age of the load that `/load` reports.
    std::uint64_t seed = 1;
    std::string deadly_path;     ///< Prefix of paths whose requests end the process; empty: none.
    double deadly_after_ms = 20; ///< Time for which such a request runs.
};

class server_standin {
  public:
    server_standin(asio::io_context& context, const server_options& options)
        : m_context(context), m_options(options), m_random(options.seed), m_start(steady::now()),
          m_service(context, options.listen, [this](const auto& it) { on_request(it); }) {}

  private:
    using exchange = std::shared_ptr<http_exchange>;

    struct pending_request {
        exchange request;
        steady::time_point deadline;
        std::unique_ptr<asio::steady_timer> timer;
        std::shared_ptr<bool> alive; ///< Expires with this object.
    };

    void on_request(const exchange& it) {
        const std::string target{it->request().target()};
        if (!m_rate_limit.empty()) {
            it->response_fields.emplace_back("Cornelpier-Rate-Limit", m_rate_limit);
        }
        if (m_leaving) {
            it->response_fields.emplace_back("Cornelpier-Leaving", "1");
        }
        if (target.starts_with("/control")) {
            on_control(it, target);
            return;
        }
        if (target == "/load") {
            on_load(it);
            return;
        }
        if (target == "/executions") {
            it->respond(200, json(m_executions).dump());
            return;
        }
        enqueue(it);
    }

    void enqueue(const exchange& it) {
        if (m_failing) {
            it->respond(500, R"({"error":"failing"})");
            return;
        }
        if (m_shedding || m_queue.size() >= m_options.queue) {
            it->respond(503, R"({"error":"shed"})");
            return;
        }
        m_queue.push_back({it, deadline_of(it), nullptr, std::make_shared<bool>(true)});
        const auto position = std::prev(m_queue.end());
        it->on_peer_closed = [this, position] { m_queue.erase(position); };
        start_queued_requests();
    }

    static steady::time_point deadline_of(const exchange& it) {
        const auto field = it->request().find("Cornelpier-Deadline-Ms");
        if (field == it->request().end()) {
            return steady::time_point::max();
        }
        return steady::now() + std::chrono::milliseconds{std::stoll(std::string{field->value()})};
    }

    void start_queued_requests() {
        while (m_running.size() < m_options.slots && !m_queue.empty()) {
            m_running.splice(m_running.end(), m_queue, m_queue.begin());
            const auto position = std::prev(m_running.end());
            if (position->deadline < steady::now()) {
                position->request->respond(503, R"({"error":"deadline passed before start"})");
                m_running.erase(position);
                continue;
            }
            execute(position);
        }
        record_load();
    }

    void execute(std::list<pending_request>::iterator position) {
        const auto& request = position->request->request();
        const std::string identity{request["X-Identity"]};
        if (!identity.empty()) {
            ++m_executions[identity];
        }
        position->request->on_peer_closed = [this, position] { finish(position); };
        const bool is_deadly =
            !m_options.deadly_path.empty() && request.target().starts_with(m_options.deadly_path);
        if (is_deadly) {
            end_process_later();
            return;
        }
        position->timer = std::make_unique<asio::steady_timer>(m_context, service_time());
        // The handler of a timer that has already expired runs even if the request is destroyed meanwhile.
        const std::weak_ptr<bool> alive = position->alive;
        position->timer->async_wait([this, position, alive](boost::system::error_code ec) {
            if (!ec && !alive.expired()) {
                respond(position->request);
                finish(position);
            }
        });
    }

    /// Ends like a crash, without closing anything in order.
    void end_process_later() {
        const std::chrono::duration<double, std::milli> delay{m_options.deadly_after_ms};
        m_end_timer = std::make_unique<asio::steady_timer>(
            m_context, std::chrono::duration_cast<steady::duration>(delay));
        m_end_timer->async_wait([](boost::system::error_code) { std::_Exit(1); });
    }

    void respond(const exchange& it) {
        if (m_dropping_responses) {
            it->abort();
            return;
        }
        const auto& request = it->request();
        const json body{{"server", m_options.name},
                        {"method", std::string{request.method_string()}},
                        {"path", std::string{request.target()}},
                        {"identity", std::string{request["X-Identity"]}},
                        {"body", request.body()}};
        if (m_truncating_responses) {
            it->respond_truncated(body.dump());
            return;
        }
        it->respond(200, body.dump());
    }

    void finish(std::list<pending_request>::iterator position) {
        m_running.erase(position);
        start_queued_requests();
    }

    steady::duration service_time() {
        std::exponential_distribution<double> distribution{1.0 / m_options.service_ms};
        const auto now = steady::now();
        const std::chrono::duration<double, std::milli> uptime = now - m_start;
        double factor = uptime.count() < m_options.cold_start_ms ? 3 : 1;
        if (now < m_slow_until) {
            factor *= m_slow_factor;
        }
        const std::chrono::duration<double, std::milli> sampled_time{distribution(m_random) * factor};
        return std::chrono::duration_cast<steady::duration>(sampled_time);
    }

    /// `/control?slow=FACTOR&for_ms=N`, `rate_limit=NUMBER` (empty: none), and `drain`, `leave`, `shed`,
    /// `fail`, `lose`, `truncate`, `sick`, each `=0|1`.
    void on_control(const exchange& it, const std::string& target) {
        set_flag(target, "drain", m_draining);
        set_flag(target, "leave", m_leaving);
        if (target.find("rate_limit=") != std::string::npos) {
            m_rate_limit = query_value(target, "rate_limit");
        }
        set_flag(target, "shed", m_shedding);
        set_flag(target, "fail", m_failing);
        set_flag(target, "lose", m_dropping_responses);
        set_flag(target, "truncate", m_truncating_responses);
        set_flag(target, "sick", m_unhealthy);
        if (const auto factor = query_value(target, "slow"); !factor.empty()) {
            m_slow_factor = std::stod(factor);
            m_slow_until =
                steady::now() + std::chrono::milliseconds{std::stoll(query_value(target, "for_ms", "50"))};
        }
        it->respond(200, "{}");
    }

    static void set_flag(const std::string& target, const std::string& name, bool& flag) {
        flag = query_value(target, name, flag ? "1" : "0") == "1";
    }

    void on_load(const exchange& it) {
        ++m_report_count;
        it->respond(200, json{{"healthy", !m_unhealthy},
                              {"draining", m_draining},
                              {"in_flight", delayed_load()},
                              {"reports", m_report_count}}
                             .dump());
    }

    void record_load() {
        constexpr std::size_t max_samples = 10'000;
        m_load_history.emplace_back(steady::now(), m_running.size() + m_queue.size());
        if (m_load_history.size() > max_samples) {
            m_load_history.pop_front();
        }
    }

    [[nodiscard]] std::size_t delayed_load() const {
        const auto lag = std::chrono::duration<double, std::milli>{m_options.report_lag_ms};
        const auto sampled_at = steady::now() - std::chrono::duration_cast<steady::duration>(lag);
        for (auto it = m_load_history.rbegin(); it != m_load_history.rend(); ++it) {
            if (it->first <= sampled_at) {
                return it->second;
            }
        }
        return 0;
    }

    asio::io_context& m_context;
    server_options m_options;
    std::mt19937_64 m_random;
    steady::time_point m_start;
    std::list<pending_request> m_queue;
    std::list<pending_request> m_running;
    std::map<std::string, int> m_executions;
    std::deque<std::pair<steady::time_point, std::size_t>> m_load_history;
    steady::time_point m_slow_until{};
    double m_slow_factor = 1;
    std::uint64_t m_report_count = 0;
    std::unique_ptr<asio::steady_timer> m_end_timer;
    std::string m_rate_limit; ///< Named in all responses; empty: none.
    bool m_leaving = false;
    bool m_draining = false;
    bool m_shedding = false;
    bool m_failing = false;
    bool m_dropping_responses = false;
    bool m_truncating_responses = false;
    bool m_unhealthy = false;
    http_service m_service;
};

} // namespace cornelpier::standins

int main(int argc, char** argv) {
    CLI::App app{"Stand-in for a server"};
    cornelpier::standins::server_options options;
    app.add_option("--listen", options.listen, "IP:port")->required();
    app.add_option("--name", options.name, "name in the responses");
    app.add_option("--slots", options.slots, "requests served concurrently");
    app.add_option("--queue", options.queue, "queue length from which requests are rejected with 503");
    app.add_option("--service-ms", options.service_ms, "mean service time in ms");
    app.add_option("--cold-start-ms", options.cold_start_ms,
                   "period after the start with threefold service times, in ms");
    app.add_option("--report-lag-ms", options.report_lag_ms, "age of the load reported by /load, in ms");
    app.add_option("--deadly-path", options.deadly_path, "Requests below this path end the process");
    app.add_option("--deadly-after-ms", options.deadly_after_ms, "Time for which such a request runs");
    app.add_option("--seed", options.seed, "seed of the service times");
    CLI11_PARSE(app, argc, argv);

    try {
        boost::asio::io_context context;
        const cornelpier::standins::server_standin server{context, options};
        cornelpier::standins::run_until_signal(context);
    } catch (const std::exception& error) {
        std::cerr << "server stand-in: " << error.what() << '\n';
        return 1;
    }
    return 0;
}
