#include "daemon/node/node_daemon.hpp"

#include "daemon/log/event_clock.hpp"
#include "daemon/log/recent_lines.hpp"
#include "daemon/metrics/metrics.hpp"
#include "daemon/node/control_runner.hpp"
#include "daemon/node/periodic_timer.hpp"
#include "daemon/node/traffic_runner.hpp"
#include "daemon/operator/operator_pages.hpp"
#include "daemon/operator/operator_server.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <iostream>
#include <random>
#include <sys/resource.h>
#include <thread>
#include <utility>
#include <vector>

namespace cornelpier {

namespace {

using boost::system::error_code;

constexpr std::chrono::seconds omission_period{1};

/// About 1 MB of log lines.
constexpr std::size_t max_recent_lines = 2000;

/// Answers to other nodes that were just handed to their links reach the kernel within this time.
constexpr std::chrono::milliseconds flush_time{100};

std::uint64_t random_number() {
    std::random_device device;
    constexpr unsigned bits = 32;
    return (std::uint64_t{device()} << bits) | device();
}

node_identity make_identity(const node_settings& settings) {
    return {settings.target,  incarnation{random_number()},
            settings.vm,      settings.data_centre,
            settings.service, settings.seeds};
}

/// The usual soft limit of 1024 is below the number of caller connections.
void raise_descriptor_limit() {
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
        limit.rlim_cur = limit.rlim_max;
        setrlimit(RLIMIT_NOFILE, &limit);
    }
}

} // namespace

/// Wiring of the parts. Members that post to others are declared after them.
class node_daemon::implementation {
  public:
    explicit implementation(node_settings settings)
        : m_settings(std::move(settings)), m_identity(make_identity(m_settings)),
          m_log(
              {m_settings.format, m_settings.level, m_identity.self, m_identity.process, m_clock, m_recent}),
          m_callers(m_traffic_context, caller_settings(), traffic_sink(), log_sink()),
          m_links(m_traffic_context, link_sinks()),
          m_server(m_traffic_context,
                   {m_settings.server_address, m_settings.server_report_path, m_settings.service},
                   traffic_sink()),
          m_gossip(
              m_control_context,
              [this](control_message message, std::string address) {
                  m_control.post(control_received{std::move(message), std::move(address)});
              },
              log_sink()),
          m_platform(m_control_context,
                     {m_settings.configuration_address, m_settings.configuration_path,
                      m_settings.vm_list_address, m_settings.vm_list_path},
                     [this](control_event event) { m_control.post(std::move(event)); }),
          m_traffic(m_traffic_context, m_identity, random_number(), traffic_sinks()),
          m_control(m_control_context, m_identity, random_number(), control_sinks()), m_pages(page_sources()),
          m_operators(m_control_context,
                      [this](const std::string& path, operator_server::on_page respond) {
                          m_pages.make(path, std::move(respond));
                      }),
          m_signals(m_control_context, SIGTERM, SIGINT), m_flush_timer(m_control_context),
          m_omission_timer(m_control_context, omission_period, [this] { m_log.write_omissions(); }) {}

    int run() {
        std::signal(SIGPIPE, SIG_IGN);
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
        for (std::uint32_t n = 0; n < m_settings.traffic_threads; ++n) {
            threads.emplace_back([this] { m_traffic_context.run(); });
        }
        m_control_context.run();

        for (auto& it : threads) {
            it.join();
        }
        return 0;
    }

  private:
    /// @return false after a message if an address cannot be used.
    bool bind() {
        for (const auto& problem :
             {m_callers.bind(), m_links.bind(m_settings.node_address), m_gossip.bind(m_settings.node_address),
              m_operators.bind(m_settings.operator_address)}) {
            if (!problem.reason.empty()) {
                std::cerr << "cornelpier-node: " << problem.place << ": " << problem.reason << '\n';
                return false;
            }
        }
        return true;
    }

    void start() {
        m_signals.async_wait([this](error_code ec, int) {
            if (!ec) {
                m_traffic.post(terminate_requested{});
            }
        });
        m_links.start();
        m_gossip.start();
        m_control.start();
        m_traffic.start();
        m_omission_timer.start();
        m_operators.start();
        m_callers.start();
    }

    void on_state(node_state state) {
        m_control.post(own_state_changed{state});
        // The node's own target is done. Calls for others would come for ever if callers could still connect.
        if (state == node_state::stopped) {
            m_callers.stop_accepting();
        }
    }

    /// Callers first: their last answers are still being written. The links follow after a short while.
    void on_drained() {
        m_callers.shut_down([this] {
            boost::asio::post(m_control_context, [this] {
                m_flush_timer.expires_after(flush_time);
                m_flush_timer.async_wait([this](error_code) { stop(); });
            });
        });
    }

    void stop() {
        m_gossip.stop();
        m_links.stop();
        m_server.stop();
        m_traffic_context.stop();
        m_control_context.stop();
    }

    caller_options caller_settings() const {
        caller_options options;
        options.address = m_settings.caller_address;
        return options;
    }

    std::function<void(traffic_event)> traffic_sink() {
        return [this](traffic_event event) { m_traffic.post(std::move(event)); };
    }

    event_sink log_sink() {
        return [this](const event_record& record) { m_log.write(record); };
    }

    link_handlers link_sinks() {
        return {[this](link_id link) { m_traffic.post(link_opened{link}); },
                [this](link_id link) { m_traffic.post(link_closed{link}); },
                [this](link_id link, traffic_message message) {
                    m_traffic.post(message_received{link, std::move(message)});
                },
                [this](control_message message) {
                    m_control.post(control_received{std::move(message), ""});
                },
                log_sink(),
                m_clock};
    }

    operator_sources page_sources() {
        return {m_identity,
                monotonic_now(),
                [this](auto on_taken) { m_traffic.snapshot(std::move(on_taken)); },
                [this](auto on_taken) { m_control.snapshot(std::move(on_taken)); },
                m_metrics,
                *m_recent};
    }

    traffic_outputs traffic_sinks() {
        return {m_callers,
                m_links,
                m_server,
                log_sink(),
                [this](const observe& it) { m_metrics.add(it, monotonic_now()); },
                [this](node_state state) { on_state(state); },
                [this] { on_drained(); }};
    }

    control_outputs control_sinks() {
        return {m_gossip, m_links, m_platform, log_sink(), [this](shared_fleet_view view) {
                    m_pages.set_view(view);
                    m_traffic.post(fleet_changed{std::move(view)});
                }};
    }

    node_settings m_settings;
    node_identity m_identity;
    std::shared_ptr<event_clock> m_clock = std::make_shared<event_clock>();
    std::shared_ptr<recent_lines> m_recent = std::make_shared<recent_lines>(max_recent_lines);
    event_log m_log;
    metrics m_metrics;
    boost::asio::io_context m_control_context{1};
    boost::asio::io_context m_traffic_context;

    caller_server m_callers;
    link_manager m_links;
    server_client m_server;
    gossip_socket m_gossip;
    platform_reader m_platform;
    traffic_runner m_traffic;
    control_runner m_control;
    operator_pages m_pages;
    operator_server m_operators;
    boost::asio::signal_set m_signals;
    boost::asio::steady_timer m_flush_timer;
    periodic_timer m_omission_timer;
};

node_daemon::node_daemon(node_settings settings)
    : m_implementation(std::make_unique<implementation>(std::move(settings))) {}

node_daemon::~node_daemon() = default;

int node_daemon::run() {
    return m_implementation->run();
}

} // namespace cornelpier
