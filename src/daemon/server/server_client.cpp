#include "daemon/server/server_client.hpp"

#include "cornelpier/validation/json_validator.hpp"

#include "daemon/net/endpoint.hpp"
#include "daemon/net/hop_by_hop.hpp"
#include "daemon/server/server_check.hpp"
#include "daemon/server/server_exchange.hpp"

#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <unordered_map>
#include <utility>

namespace cornelpier {

namespace {

constexpr std::chrono::seconds report_timeout{1};
constexpr int status_ok = 200;
constexpr int status_misdirected = 421;
constexpr double ms_per_second = 1e3;

/// @return the report, or `server_report_failed` if the response is not a valid report.
traffic_event parse_report(const http_response& response) {
    const auto item = read_json(*response.body);
    if (response.status != status_ok || !item.is_object()) {
        return server_report_failed{};
    }

    const auto healthy = item.find("healthy");
    const auto draining = item.find("draining");
    const auto in_flight = item.find("in_flight");
    const auto is_boolean = [&](const auto& it) { return it != item.end() && it->is_boolean(); };
    if (!is_boolean(healthy) || !is_boolean(draining) || in_flight == item.end() ||
        !in_flight->is_number_unsigned()) {
        return server_report_failed{};
    }
    return server_report{healthy->template get<bool>(), draining->template get<bool>(),
                         in_flight->template get<std::uint32_t>()};
}

/// @return the rate, or nothing if the text is not a finite number that is at least 0.
std::optional<rate> parse_rate(const std::string& text) {
    rate result;
    const char* const end = text.data() + text.size();
    const auto [stop, ec] = std::from_chars(text.data(), end, result.per_second);
    const bool is_valid =
        ec == std::errc{} && stop == end && std::isfinite(result.per_second) && result.per_second >= 0;
    return is_valid ? std::optional{result} : std::nullopt;
}

/// @return the time, or nothing if the text is not a number of milliseconds from 0 to the longest warm-up.
std::optional<duration> parse_warm_up(const std::string& text) {
    double milliseconds = 0;
    const char* const end = text.data() + text.size();
    const auto [stop, ec] = std::from_chars(text.data(), end, milliseconds);
    const bool is_valid = ec == std::errc{} && stop == end && milliseconds >= 0 &&
                          milliseconds / ms_per_second <= to_seconds(max_warm_up_length);
    return is_valid ? std::optional{from_seconds(milliseconds / ms_per_second)} : std::nullopt;
}

/// @return the value of a field, or nullptr if the response lacks it or the field has no name here.
const std::string* find_response_field(const http_response& response, const std::string& name) {
    return name.empty() ? nullptr : find_field(response.fields, name);
}

std::string whole_milliseconds(duration length) {
    return std::to_string(
        std::max<std::int64_t>(1, std::chrono::duration_cast<std::chrono::milliseconds>(length).count()));
}

} // namespace

/// Owns the connection pool and the exchanges in progress; used on its strand only.
class server_client::implementation : public std::enable_shared_from_this<implementation> {
  public:
    implementation(boost::asio::io_context& io_context, server_client_options options, handler on_event)
        : m_options(std::move(options)), m_on_event(std::move(on_event)), m_strand(make_strand(io_context)),
          m_server(std::get<socket_address>(parse_address(m_options.address)).tcp()) {}

    template <typename Function>
    void post(Function function) {
        boost::asio::post(m_strand, [self = shared_from_this(), function = std::move(function)]() mutable {
            function(*self);
        });
    }

    void start(start_run action) {
        prepare_request(action);
        const run_id run = action.run;
        auto exchange = std::make_shared<server_exchange>(
            m_strand, std::move(action.request),
            [self = shared_from_this(), run](server_exchange::outcome result,
                                             reusable_connection connection) {
                self->on_exchange_done(run, std::move(result), std::move(connection));
            },
            server_exchange::response_rules{m_options.names.request_id, m_options.names.response_seal,
                                            m_options.names.close_delimited_responses});
        m_runs.insert_or_assign(run, exchange);
        start_exchange(*exchange, action.fresh_connection, action.timeout);
    }

    void cancel(run_id run) {
        const auto it = m_runs.find(run);
        if (it == m_runs.end()) {
            return;
        }
        it->second->cancel();
        m_runs.erase(it);
    }

    void read_report(const std::string& path) {
        http_request request{"GET",
                             path.empty() ? m_options.report_path : path,
                             {{"host", m_options.service.value()}},
                             make_body()};
        const auto exchange = std::make_shared<server_exchange>(
            m_strand, std::move(request),
            [self = shared_from_this()](server_exchange::outcome result, reusable_connection connection) {
                const auto* response = std::get_if<http_response>(&result);
                self->return_to_pool(std::move(connection));
                self->m_on_event(response != nullptr ? self->to_report_event(*response)
                                                     : server_report_failed{});
            },
            server_exchange::response_rules{m_options.names.request_id, {}, false});
        start_exchange(*exchange, false, report_timeout);
    }

    void check() {
        auto connecting = std::make_shared<server_check>(
            m_strand,
            [self = shared_from_this()](server_presence presence, connection_pool::socket_ptr socket) {
                self->return_to_pool({std::move(socket)});
                self->m_on_event(server_checked{presence});
            });
        connecting->start(m_server);
    }

    void stop() {
        for (const auto& [run, exchange] : m_runs) {
            exchange->cancel();
        }
        m_runs.clear();
        m_pool.clear();
        m_stopped = true;
    }

  private:
    void start_exchange(server_exchange& exchange, bool fresh_connection, duration timeout) {
        if (auto socket = m_pool.acquire(fresh_connection)) {
            exchange.start(std::move(socket), timeout);
            return;
        }
        exchange.start(m_server, timeout);
    }

    /// Replaces hop-by-hop, Host, Content-Length and Cornelpier fields with those for the server.
    void prepare_request(start_run& action) const {
        auto& request = action.request;
        const auto& names = m_options.names;
        remove_hop_by_hop(request.fields);
        std::erase_if(request.fields, [&](const auto& field) {
            return (field.first == "host" && !names.preserve_host) || field.first == "content-length" ||
                   field.first.starts_with(names.reserved_prefix);
        });
        const auto add = [&](const std::string& name, std::string value) {
            if (!name.empty()) {
                request.fields.emplace_back(name, std::move(value));
            }
        };
        if (!names.preserve_host) {
            add("host", m_options.service.value());
        }
        add(names.deadline, whole_milliseconds(action.deadline));
        add(names.depth, std::to_string(action.depth));
        if (action.outer_retry) {
            add(names.retry, "1");
        }
        if (!action.instance.empty()) {
            add(names.expected_instance, action.instance);
        }
        const bool has_body = !request.body->empty() || request.method == "POST" || request.method == "PUT" ||
                              request.method == "PATCH";
        if (has_body) {
            request.fields.emplace_back("content-length", std::to_string(request.body->size()));
        }
    }

    void on_exchange_done(run_id run, server_exchange::outcome result, reusable_connection connection) {
        m_runs.erase(run);
        auto* response = std::get_if<http_response>(&result);
        return_to_pool(std::move(connection));
        if (response == nullptr) {
            m_on_event(server_failed{run, std::get<server_failure>(result)});
            return;
        }
        server_answered event{run, std::move(*response)};
        event.refused = is_refusal(event.response);
        event.load = parse_load_field(event.response);
        event.advice = parse_advice(event.response);
        m_on_event(std::move(event));
    }

    [[nodiscard]] bool is_refusal(const http_response& response) const {
        const auto& names = m_options.names;
        if (names.not_run.empty()) {
            return false;
        }
        return response.status == status_misdirected || find_field(response.fields, names.not_run) != nullptr;
    }

    [[nodiscard]] std::optional<server_load_report> parse_load_field(const http_response& response) const {
        const auto& names = m_options.names;
        const auto* text = find_response_field(response, names.load);
        return text == nullptr || names.parse_load == nullptr ? std::nullopt : names.parse_load(*text);
    }

    [[nodiscard]] server_advice parse_advice(const http_response& response) const {
        server_advice advice;
        if (const auto* text = find_response_field(response, m_options.names.rate_limit)) {
            advice.rate_limit = parse_rate(*text);
            advice.malformed = !advice.rate_limit;
        }
        const auto* leaving = find_response_field(response, m_options.names.leaving);
        advice.leaving = leaving != nullptr && *leaving == "1";
        return advice;
    }

    void read_warm_up(const http_response& response, server_report& report) const {
        if (const auto* text = find_response_field(response, m_options.names.warm_up_remaining)) {
            report.warm_up_remaining = parse_warm_up(*text);
            report.warm_up_malformed = !report.warm_up_remaining;
        }
    }

    [[nodiscard]] traffic_event to_report_event(const http_response& response) const {
        if (m_options.names.load.empty()) {
            auto event = parse_report(response);
            if (auto* report = std::get_if<server_report>(&event)) {
                report->advice = parse_advice(response);
                read_warm_up(response, *report);
            }
            return event;
        }
        server_report report;
        report.advice = parse_advice(response);
        read_warm_up(response, report);
        report.healthy = response.status == status_ok;
        report.load = parse_load_field(response);
        report.in_flight = report.load ? report.load->running : 0;
        if (const auto* instance = find_response_field(response, m_options.names.response_instance)) {
            report.instance = *instance;
        }
        return report;
    }

    void return_to_pool(reusable_connection connection) {
        if (connection.socket && !m_stopped) {
            m_pool.release(std::move(connection.socket), connection.idle_time);
        }
    }

    server_client_options m_options;
    handler m_on_event;
    server_exchange::executor m_strand;
    boost::asio::ip::tcp::endpoint m_server;
    connection_pool m_pool;
    std::unordered_map<run_id, std::shared_ptr<server_exchange>> m_runs;
    bool m_stopped = false;
};

server_client::server_client(boost::asio::io_context& io_context, server_client_options options,
                             handler on_event)
    : m_implementation(
          std::make_shared<implementation>(io_context, std::move(options), std::move(on_event))) {}

server_client::~server_client() = default;

void server_client::start(start_run action) {
    m_implementation->post([action = std::move(action)](auto& it) mutable { it.start(std::move(action)); });
}

void server_client::cancel(run_id run) {
    m_implementation->post([run](auto& it) { it.cancel(run); });
}

void server_client::read_report(const std::string& path) {
    m_implementation->post([path](auto& it) { it.read_report(path); });
}

void server_client::check() {
    m_implementation->post([](auto& it) { it.check(); });
}

void server_client::stop() {
    m_implementation->post([](auto& it) { it.stop(); });
}

} // namespace cornelpier
