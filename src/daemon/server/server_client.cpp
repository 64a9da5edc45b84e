#include "daemon/server/server_client.hpp"

#include "daemon/net/endpoint.hpp"
#include "daemon/net/hop_by_hop.hpp"
#include "daemon/server/server_exchange.hpp"

#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>

#include <unordered_map>
#include <utility>

namespace cornelpier {

namespace {

constexpr std::chrono::seconds report_limit{1};
constexpr int status_ok = 200;

/// @return the report, or `server_report_failed` for anything that is no report.
traffic_event parse_report(const http_response& response) {
    const auto item = nlohmann::json::parse(*response.body, nullptr, false);
    if (response.status != status_ok || !item.is_object()) {
        return server_report_failed{};
    }

    const auto healthy = item.find("healthy");
    const auto draining = item.find("draining");
    const auto in_flight = item.find("in_flight");
    const auto has_flag = [&](const auto& it) { return it != item.end() && it->is_boolean(); };
    if (!has_flag(healthy) || !has_flag(draining) || in_flight == item.end() ||
        !in_flight->is_number_unsigned()) {
        return server_report_failed{};
    }
    return server_report{healthy->template get<bool>(), draining->template get<bool>(),
                         in_flight->template get<std::uint32_t>()};
}

std::string whole_milliseconds(duration length) {
    return std::to_string(
        std::max<std::int64_t>(1, std::chrono::duration_cast<std::chrono::milliseconds>(length).count()));
}

} // namespace

/// Owns the pool and the exchanges in progress; used on its strand only.
class server_client::implementation : public std::enable_shared_from_this<implementation> {
  public:
    implementation(boost::asio::io_context& context_threads, server_options options, handler on_event)
        : m_options(std::move(options)), m_on_event(std::move(on_event)),
          m_strand(make_strand(context_threads)),
          m_server(std::get<socket_address>(parse_address(m_options.address)).tcp()) {}

    template <typename Function>
    void post(Function function) {
        boost::asio::post(m_strand, [self = shared_from_this(), function = std::move(function)]() mutable {
            function(*self);
        });
    }

    void start(start_run action) {
        prepare(action);
        const run_id run = action.run;
        auto exchange = std::make_shared<server_exchange>(
            m_strand, std::move(action.request),
            [self = shared_from_this(), run](server_exchange::outcome result,
                                             connection_pool::socket_ptr socket) {
                self->on_done(run, std::move(result), std::move(socket));
            });
        m_runs.insert_or_assign(run, exchange);
        launch(*exchange, action.fresh_connection, action.timeout);
    }

    void cancel(run_id run) {
        const auto it = m_runs.find(run);
        if (it == m_runs.end()) {
            return;
        }
        it->second->abandon();
        m_runs.erase(it);
    }

    void read_report() {
        http_request request{
            "GET", m_options.report_path, {{"host", m_options.service.value()}}, make_body()};
        const auto exchange = std::make_shared<server_exchange>(
            m_strand, std::move(request),
            [self = shared_from_this()](server_exchange::outcome result, connection_pool::socket_ptr socket) {
                self->keep(std::move(socket));
                const auto* response = std::get_if<http_response>(&result);
                self->m_on_event(response != nullptr ? parse_report(*response) : server_report_failed{});
            });
        launch(*exchange, false, report_limit);
    }

    void stop() {
        for (const auto& [run, exchange] : m_runs) {
            exchange->abandon();
        }
        m_runs.clear();
        m_pool.clear();
        m_stopped = true;
    }

  private:
    void launch(server_exchange& exchange, bool fresh_connection, duration timeout) {
        if (auto socket = m_pool.take(fresh_connection)) {
            exchange.start(std::move(socket), timeout);
            return;
        }
        exchange.start(m_server, timeout);
    }

    /// Completes the fields of a request for the server.
    void prepare(start_run& action) const {
        auto& request = action.request;
        remove_hop_by_hop(request.fields);
        std::erase_if(request.fields, [](const auto& field) {
            return field.first == "host" || field.first == "content-length" ||
                   field.first.starts_with("cornelpier-");
        });
        request.fields.emplace_back("host", m_options.service.value());
        request.fields.emplace_back("cornelpier-deadline-ms", whole_milliseconds(action.deadline));
        request.fields.emplace_back("cornelpier-depth", std::to_string(action.depth));
        if (action.outer_retry) {
            request.fields.emplace_back("cornelpier-retry", "1");
        }
        const bool has_body = !request.body->empty() || request.method == "POST" || request.method == "PUT" ||
                              request.method == "PATCH";
        if (has_body) {
            request.fields.emplace_back("content-length", std::to_string(request.body->size()));
        }
    }

    void on_done(run_id run, server_exchange::outcome result, connection_pool::socket_ptr socket) {
        m_runs.erase(run);
        keep(std::move(socket));
        if (auto* response = std::get_if<http_response>(&result)) {
            m_on_event(server_answered{run, std::move(*response)});
            return;
        }
        m_on_event(server_failed{run, std::get<server_failure>(result)});
    }

    void keep(connection_pool::socket_ptr socket) {
        if (socket && !m_stopped) {
            m_pool.put(std::move(socket));
        }
    }

    server_options m_options;
    handler m_on_event;
    server_exchange::executor m_strand;
    boost::asio::ip::tcp::endpoint m_server;
    connection_pool m_pool;
    std::unordered_map<run_id, std::shared_ptr<server_exchange>> m_runs;
    bool m_stopped = false;
};

server_client::server_client(boost::asio::io_context& context_threads, server_options options,
                             handler on_event)
    : m_implementation(
          std::make_shared<implementation>(context_threads, std::move(options), std::move(on_event))) {}

server_client::~server_client() = default;

void server_client::start(start_run action) {
    m_implementation->post([action = std::move(action)](auto& it) mutable { it.start(std::move(action)); });
}

void server_client::cancel(run_id run) {
    m_implementation->post([run](auto& it) { it.cancel(run); });
}

void server_client::read_report() {
    m_implementation->post([](auto& it) { it.read_report(); });
}

void server_client::stop() {
    m_implementation->post([](auto& it) { it.stop(); });
}

} // namespace cornelpier
