#include "daemon/node/node_daemon.hpp"

#include "daemon/fleet/gossip_fleet_source.hpp"
#include "daemon/log/event_clock.hpp"
#include "daemon/log/recent_lines.hpp"
#include "daemon/memory/allocator_settings.hpp"
#include "daemon/memory/budget_monitor.hpp"
#include "daemon/memory/byte_reservation.hpp"
#include "daemon/metrics/metrics.hpp"
#include "daemon/net/run_io_context.hpp"
#include "daemon/node/periodic_timer.hpp"
#include "daemon/node/traffic_runner.hpp"
#include "daemon/operator/operator_pages.hpp"
#include "daemon/operator/operator_server.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <iostream>
#include <memory>
#include <optional>
#include <random>
#include <string_view>
#include <sys/resource.h>
#include <thread>
#include <utility>
#include <vector>

namespace cornelpier {

namespace {

using boost::system::error_code;

constexpr std::chrono::seconds omission_report_interval{1};

/// Interval at which the budget's state is reported and free memory is returned to the system.
constexpr std::chrono::seconds memory_check_interval{1};

/// Estimate of what a connection holds outside the budget: its buffers, timers and handlers.
constexpr std::size_t bytes_per_connection = std::size_t{8} * 1024;

/// Callers get at most five eighths of the descriptors; the others are for links, servers and operators.
constexpr rlim_t caller_descriptors_numerator = 5;
constexpr rlim_t caller_descriptors_denominator = 8;

/// Kept for the /events page; about 1 MB of log lines.
constexpr std::size_t max_recent_lines = 2000;

/// Delay before the links are closed, so that responses queued on them reach the kernel.
constexpr std::chrono::milliseconds link_flush_delay{100};

/// Largest time that large responses on links may take to be sent before the process ends. At 10 Mbit/s it
/// covers four downloads of 540 KB.
constexpr std::chrono::seconds max_link_flush_time{2};

/// Part of the shutdown timeout that is reserved for writing responses to callers that still wait.
constexpr std::chrono::milliseconds caller_answer_reserve{350};

std::uint64_t random_uint64() {
    std::random_device device;
    constexpr unsigned bits = 32;
    return (std::uint64_t{device()} << bits) | device();
}

node_identity make_identity(const node_settings& settings) {
    return {settings.target,  incarnation{random_uint64()},
            settings.vm,      settings.data_centre,
            settings.service, settings.seeds};
}

/// @return the options with those that the settings choose.
node_options with_settings(node_options options, const node_settings& settings) {
    options.traffic.entry.locality = settings.locality;
    return options;
}

/// Raises the soft limit on open files to the hard limit. The usual soft limit of 1024 is lower than the
/// number of caller connections.
void raise_descriptor_limit() {
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
        limit.rlim_cur = limit.rlim_max;
        setrlimit(RLIMIT_NOFILE, &limit);
    }
}

/// @return the largest number of caller connections that leaves descriptors for other purposes.
std::size_t max_caller_connections(std::size_t wanted) {
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_max == RLIM_INFINITY) {
        return wanted;
    }
    const rlim_t share = limit.rlim_max / caller_descriptors_denominator * caller_descriptors_numerator;
    return std::min<std::size_t>(wanted, share);
}

} // namespace

/// Connects the components of a node. Members that post to other members are declared after them.
class node_daemon::implementation {
  public:
    implementation(node_settings settings, node_options options)
        : m_settings(std::move(settings)), m_options(with_settings(std::move(options), m_settings)),
          m_identity(make_identity(m_settings)), m_log({m_settings.format, m_settings.level, m_identity.self,
                                                        m_identity.process, m_clock, m_recent}),
          m_traffic_context(m_options.single_thread ? m_control_context : m_separate_traffic_context),
          m_callers(m_traffic_context, make_caller_options(), traffic_sink(), log_sink()),
          m_links(m_traffic_context, make_link_handlers()),
          m_server(
              m_traffic_context,
              {m_settings.server_address, m_settings.server_report_path, m_settings.service, m_options.names},
              traffic_sink()),
          m_source(make_source()), m_traffic(m_traffic_context, m_identity, random_uint64(),
                                             make_traffic_outputs(), m_options.traffic),
          m_pages(make_operator_sources()),
          m_operator_server(m_control_context,
                            [this](const std::string& path, operator_server::page_callback respond) {
                                m_pages.respond_to(path, std::move(respond));
                            }),
          m_readiness_server(m_control_context,
                             [this](const std::string& path, const operator_server::page_callback& respond) {
                                 respond(readiness_page(path));
                             }),
          m_terminate_signals(m_control_context, SIGTERM, SIGINT), m_reload_signal(m_control_context, SIGHUP),
          m_stop_timer(m_control_context), m_shutdown_timeout_timer(m_control_context),
          m_omission_report_timer(m_control_context, omission_report_interval,
                                  [this] { m_log.write_suppressed_counts(); }),
          m_memory_timer(m_control_context, memory_check_interval, [this] { check_memory(); }) {}

    int run() {
        std::signal(SIGPIPE, SIG_IGN);
        configure_allocator();
        raise_descriptor_limit();
        if (!bind()) {
            return 1;
        }

        m_log.write({event_number::node_started,
                     {{"callers", m_settings.caller_address}, {"node", m_settings.node_address}}});
        start();
        const auto traffic_work = boost::asio::make_work_guard(m_traffic_context);
        const auto control_work = boost::asio::make_work_guard(m_control_context);
        std::vector<std::thread> threads;
        for (std::uint32_t n = 0; !m_options.single_thread && n < m_settings.traffic_threads; ++n) {
            threads.emplace_back([this] { run_io_context(m_traffic_context, failure_sink()); });
        }
        run_io_context(m_control_context, failure_sink());

        for (auto& it : threads) {
            it.join();
        }
        m_links.stop();
        return 0;
    }

  private:
    /// Binds all addresses.
    /// @return false if an address cannot be bound; the reason is printed to standard error.
    bool bind() {
        const bool has_readiness_port = !m_options.readiness_address.empty();
        for (const auto& problem :
             {m_callers.bind(), m_links.bind(m_settings.node_address), m_source->bind(),
              m_operator_server.bind(m_settings.operator_address),
              has_readiness_port ? m_readiness_server.bind(m_options.readiness_address) : error{}}) {
            if (!problem.reason.empty()) {
                std::cerr << "cornelpier-node: " << problem.place << ": " << problem.reason << '\n';
                return false;
            }
        }
        return true;
    }

    void start() {
        m_terminate_signals.async_wait([this](error_code ec, int) {
            if (!ec) {
                on_terminate_signal();
            }
        });
        wait_for_reload();
        m_links.start();
        m_source->start();
        m_traffic.start();
        m_omission_report_timer.start();
        m_memory_timer.start();
        m_operator_server.start();
        if (!m_options.readiness_address.empty()) {
            m_readiness_server.start();
        }
        m_callers.start();
    }

    void check_memory() {
        m_link_queue_bytes.force_resize(m_links.queued_bytes());
        const auto usage = m_budget->usage();
        if (const auto event = m_budget_monitor.update(usage)) {
            m_log.write(*event);
        }
        const auto connections = m_callers.connections() * bytes_per_connection;
        if (m_trim_policy.update(usage.used + connections, m_budget->take_peak() + connections)) {
            return_free_memory();
        }
    }

    void wait_for_reload() {
        m_reload_signal.async_wait([this](error_code ec, int) {
            if (ec) {
                return;
            }
            reload();
            wait_for_reload();
        });
    }

    void reload() {
        const auto outcome = m_options.reload ? m_options.reload()
                                              : result<std::vector<std::string>>{std::vector<std::string>{}};
        if (const auto* problem = std::get_if<error>(&outcome)) {
            m_log.write(
                {event_number::settings_invalid, {{"place", problem->place}, {"reason", problem->reason}}});
            return;
        }
        std::string changed;
        for (const auto& it : std::get<std::vector<std::string>>(outcome)) {
            changed += (changed.empty() ? "" : " ") + it;
        }
        m_log.write({event_number::settings_reloaded, {{"changed", changed}}});
    }

    void on_terminate_signal() {
        m_terminated_at = std::chrono::steady_clock::now();
        m_log.write({event_number::stop_requested, {}});
        m_traffic.post(terminate_requested{});
        if (m_options.shutdown_delay > std::chrono::milliseconds{0}) {
            m_stop_timer.expires_at(*m_terminated_at + m_options.shutdown_delay);
            m_stop_timer.async_wait([this](error_code ec) {
                if (!ec) {
                    stop_callers();
                }
            });
        }
        if (m_options.shutdown_timeout > std::chrono::milliseconds{0}) {
            m_shutdown_timeout_timer.expires_at(*m_terminated_at + m_options.shutdown_timeout);
            m_shutdown_timeout_timer.async_wait([this](error_code ec) {
                if (!ec) {
                    stop("time_limit");
                }
            });
        }
    }

    void on_state(node_state state) {
        m_source->on_state(state);
        // The node's own target has drained. Callers that can still connect could send calls for other
        // targets indefinitely.
        if (state == node_state::stopped && m_options.shutdown_delay == std::chrono::milliseconds{0}) {
            m_callers.stop_accepting();
        }
    }

    /// Without a shutdown delay, the caller connections are shut down now, so that responses in progress are
    /// written before the process ends.
    void on_drained() {
        boost::asio::post(m_control_context, [this] {
            m_drained = true;
            if (m_options.shutdown_delay == std::chrono::milliseconds{0}) {
                stop_callers();
            } else {
                stop_if_done();
            }
        });
    }

    /// Shuts down the caller connections. Callers may send requests for as long as the node answers, so only
    /// `caller_options::stop_timeout` bounds the shutdown.
    void stop_callers() {
        m_callers.shut_down([this] {
            boost::asio::post(m_control_context, [this] {
                m_callers_stopped = true;
                stop_if_done();
            });
        });
    }

    /// Stops the process once the target has drained, the caller connections are shut down, and the links
    /// have had nothing to send for `link_flush_delay`.
    void stop_if_done() {
        if (!m_drained || !m_callers_stopped) {
            return;
        }
        stop_when_flushed(m_links.bytes_unsent() == 0,
                          std::chrono::steady_clock::now() + max_link_flush_time);
    }

    void stop_when_flushed(bool was_empty, std::chrono::steady_clock::time_point limit) {
        m_stop_timer.expires_after(link_flush_delay);
        m_stop_timer.async_wait([this, was_empty, limit](error_code) {
            const bool is_empty = m_links.bytes_unsent() == 0;
            if ((was_empty && is_empty) || std::chrono::steady_clock::now() >= limit) {
                stop("done");
                return;
            }
            stop_when_flushed(is_empty, limit);
        });
    }

    void stop(const char* cause) {
        m_log.write({event_number::process_ended, {{"cause", cause}}});
        m_source->stop();
        m_server.stop();
        m_traffic_context.stop();
        m_control_context.stop();
    }

    operator_page readiness_page(const std::string& path) const {
        if (path != m_options.readiness_path) {
            return {404, "text/plain", ""};
        }
        const bool ready = m_has_view && !m_terminated_at;
        return {ready ? 200 : 503, "text/plain", ""};
    }

    caller_options make_caller_options() const {
        caller_options options;
        options.address = m_settings.caller_address;
        options.names = m_options.names;
        options.own_service = m_settings.service;
        options.budget = m_budget;
        options.refuse_from_head = true;
        options.max_connections = max_caller_connections(options.max_connections);
        if (m_options.shutdown_timeout > m_options.shutdown_delay) {
            const auto left = m_options.shutdown_timeout - m_options.shutdown_delay;
            options.stop_timeout = std::max(left - caller_answer_reserve, std::chrono::milliseconds{0});
        }
        return options;
    }

    std::function<void(std::string_view)> failure_sink() {
        return [this](std::string_view reason) {
            m_log.write({event_number::handler_failed, {{"reason", std::string{reason}}}});
        };
    }

    std::function<void(traffic_event)> traffic_sink() {
        return [this](traffic_event event) { m_traffic.post(std::move(event)); };
    }

    event_sink log_sink() {
        return [this](const event_record& record) { m_log.write(record); };
    }

    link_handlers make_link_handlers() {
        return {[this](link_id link) { m_traffic.post(link_opened{link}); },
                [this](link_id link) { m_traffic.post(link_closed{link}); },
                [this](link_id link, traffic_message message) {
                    m_traffic.post(message_received{link, std::move(message)});
                },
                [this](control_message message) { m_source->on_message(std::move(message)); },
                log_sink(),
                [this](link_id link) { m_traffic.post(link_progress{link}); },
                m_clock};
    }

    operator_sources make_operator_sources() {
        return {m_identity,
                monotonic_now(),
                [this](auto on_taken) { m_traffic.snapshot(std::move(on_taken)); },
                [this](auto on_taken) { m_source->snapshot(std::move(on_taken)); },
                m_metrics,
                *m_recent,
                [this] { return m_links.bytes_in_assembly(); },
                m_budget};
    }

    traffic_outputs make_traffic_outputs() {
        return {m_callers,
                m_links,
                m_server,
                log_sink(),
                [this](const record_metric& it) { m_metrics.add(it, monotonic_now()); },
                [this](node_state state) { on_state(state); },
                [this] { on_drained(); }};
    }

    std::unique_ptr<fleet_source> make_source() {
        fleet_source_context context{m_control_context, m_identity, m_links, log_sink(),
                                     [this](shared_fleet_view view) { apply_view(std::move(view)); }};
        if (m_options.make_source) {
            return m_options.make_source(std::move(context));
        }
        return std::make_unique<gossip_fleet_source>(
            std::move(context), m_settings.node_address,
            platform_endpoints{m_settings.configuration_address, m_settings.configuration_path,
                               m_settings.vm_list_address, m_settings.vm_list_path},
            random_uint64());
    }

    void apply_limits(const caller_limits& limits) {
        m_callers.set_limits(limits);
        m_links.set_body_limit(body_limit(limits));
        m_server.set_body_limit(body_limit(limits));
    }

    void apply_view(shared_fleet_view view) {
        apply_limits(view->current_plan->limits.value_or(caller_limits{}));
        m_callers.set_view(view);
        m_has_view = true;
        m_pages.set_view(view);
        m_traffic.post(fleet_changed{std::move(view)});
    }

    node_settings m_settings;
    node_options m_options;
    node_identity m_identity;
    std::shared_ptr<event_clock> m_clock = std::make_shared<event_clock>();
    std::shared_ptr<recent_lines> m_recent = std::make_shared<recent_lines>(max_recent_lines);
    event_log m_log;
    std::shared_ptr<byte_budget> m_budget = std::make_shared<byte_budget>(
        budget_bytes(m_settings.memory_limit_mb), sole_budget_bytes(m_settings.memory_limit_mb));
    byte_reservation m_link_queue_bytes{m_budget, held_bytes::link_queues};
    metrics m_metrics;
    boost::asio::io_context m_control_context{1};
    boost::asio::io_context m_separate_traffic_context;
    boost::asio::io_context& m_traffic_context;

    caller_server m_callers;
    link_manager m_links;
    server_client m_server;
    std::unique_ptr<fleet_source> m_source;
    traffic_runner m_traffic;
    operator_pages m_pages;
    operator_server m_operator_server;
    operator_server m_readiness_server;
    boost::asio::signal_set m_terminate_signals;
    boost::asio::signal_set m_reload_signal;
    boost::asio::steady_timer m_stop_timer;
    boost::asio::steady_timer m_shutdown_timeout_timer;
    periodic_timer m_omission_report_timer;
    periodic_timer m_memory_timer;
    budget_monitor m_budget_monitor;
    trim_policy m_trim_policy;
    bool m_has_view = false; ///< Control thread only, like the members below.
    std::optional<std::chrono::steady_clock::time_point> m_terminated_at;
    bool m_drained = false;
    bool m_callers_stopped = false;
};

node_daemon::node_daemon(node_settings settings, node_options options)
    : m_implementation(std::make_unique<implementation>(std::move(settings), std::move(options))) {}

node_daemon::~node_daemon() = default;

int node_daemon::run() {
    return m_implementation->run();
}

} // namespace cornelpier
