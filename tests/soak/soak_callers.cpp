#include "tests/soak/soak_callers.hpp"

#include "tests/standins/http_service.hpp"

#include <boost/beast.hpp>

#include <algorithm>
#include <cstdlib>

namespace cornelpier::soak {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

constexpr milliseconds caller_deadline{1800};

/// Timeout of the routes plus the tolerance of the platform.
constexpr milliseconds response_timeout{1500 + 500};

constexpr milliseconds connect_timeout{1000};
constexpr milliseconds reconnect_delay{50};

/// Bounds of the pause between a response and the next request on a connection.
constexpr int min_pause_ms = 5;
constexpr int max_pause_ms = 60;

/// One request in this many is abandoned by its caller, this long after it was sent.
constexpr int abandon_one_in = 40;
constexpr milliseconds abandon_after{15};

/// Upper limit on the Retry-After delay that callers honour.
constexpr double max_retry_delay_s = 0.3;

const char* method_of(const request_record& request) {
    return request.idempotent ? "GET" : "POST";
}

std::string bytes_of(const request_record& request) {
    return std::string{method_of(request)} + ' ' + request.target +
           " HTTP/1.1\r\nHost: soak.example\r\nX-Attempt-Id: " + request.id +
           "\r\nX-Deadline-Ms: " + std::to_string(request.deadline.count()) +
           "\r\nContent-Length: " + std::to_string(request.body.size()) + "\r\n\r\n" + request.body;
}

answer_record answer_of(const http::response<http::string_body>& message) {
    return {static_cast<int>(message.result_int()), std::string{message["X-Attempt-Id"]},
            std::string{message["X-Response-Seal"]}, message.body()};
}

} // namespace

class soak_callers::connection {
  public:
    explicit connection(asio::io_context& context) : stream(context) {}

    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
};

soak_callers::soak_callers(asio::io_context& context, invariant_checker& checker, const fault_tracker& faults,
                           std::uint32_t seed)
    : m_context(context), m_checker(checker), m_faults(faults), m_random(seed) {}

void soak_callers::start(const std::string& address, int connections) {
    for (int n = 0; n < connections; ++n) {
        asio::spawn(m_context, [this, address](asio::yield_context yield) { run_caller(address, yield); });
    }
}

void soak_callers::check_plan(const std::string& address, int version, steady_clock::time_point changed_at) {
    asio::spawn(m_context, [this, address, version, changed_at](asio::yield_context yield) {
        request_plan_route(address, version, changed_at, yield);
    });
}

void soak_callers::sleep(milliseconds time, asio::yield_context yield) {
    asio::steady_timer timer{m_context, time};
    timer.async_wait(yield);
}

request_record soak_callers::next_request() {
    request_record result;
    result.id = "q" + std::to_string(++m_last_id);
    result.idempotent = random_between(0, 1) == 0;
    result.target = (result.idempotent ? "/safe/" : "/unsafe/") + result.id;
    if (!result.idempotent) {
        result.body = "order " + result.id;
    }
    result.deadline = caller_deadline;
    return result;
}

void soak_callers::run_caller(const std::string& address, asio::yield_context yield) {
    while (!m_stopped) {
        connection it{m_context};
        error_code ec;
        it.stream.expires_after(connect_timeout);
        it.stream.async_connect(standins::parse_endpoint(address), yield[ec]);
        while (!ec && !m_stopped && send_request(it, address, next_request(), yield)) {
            sleep(milliseconds{random_between(min_pause_ms, max_pause_ms)}, yield);
        }
        sleep(reconnect_delay, yield);
    }
}

void soak_callers::send_repeatedly(std::vector<std::string> addresses, std::string target, int count,
                                   milliseconds interval) {
    const auto repeat = [=, this](asio::yield_context yield) {
        for (int n = 0; n < count && !m_stopped; ++n) {
            asio::spawn(m_context, [=, this](asio::yield_context inner) {
                connection it{m_context};
                const std::string& address = addresses[static_cast<std::size_t>(n) % addresses.size()];
                auto request = next_request();
                request.idempotent = true;
                request.body.clear();
                request.target = target;
                error_code ec;
                it.stream.expires_after(connect_timeout);
                it.stream.async_connect(standins::parse_endpoint(address), inner[ec]);
                if (!ec) {
                    send_request(it, address, request, inner);
                }
            });
            sleep(interval, yield);
        }
    };
    asio::spawn(m_context, repeat);
}

/// @return whether the connection can be reused.
bool soak_callers::send_request(connection& it, const std::string& address, const request_record& request,
                                asio::yield_context yield) {
    const auto sent_at = steady_clock::now();
    const std::string bytes = bytes_of(request);
    m_checker.on_request_sent(request);
    it.stream.expires_after(response_timeout);
    error_code ec;
    asio::async_write(it.stream, asio::buffer(bytes), yield[ec]);
    if (!ec && random_between(1, abandon_one_in) == 1) {
        sleep(abandon_after, yield);
        m_checker.on_connection_lost(request.id, true);
        return false;
    }

    http::response<http::string_body> message;
    if (!ec) {
        http::async_read(it.stream, it.buffer, message, yield[ec]);
    }
    const bool excused = !m_faults.fault_free_since(sent_at);
    if (ec == boost::beast::error::timeout) {
        m_checker.on_timeout(request.id, excused);
        return false;
    }
    if (ec) {
        m_checker.on_connection_lost(request.id, excused);
        return false;
    }

    m_checker.on_caller_response(request.id, answer_of(message));
    m_served[address] += message.result_int() == 200 ? 1 : 0;
    if (const auto retry = message.find(http::field::retry_after); retry != message.end()) {
        const double wait =
            std::min(std::strtod(std::string{retry->value()}.c_str(), nullptr), max_retry_delay_s);
        sleep(milliseconds{static_cast<int>(1000 * wait)}, yield);
    }
    return message.keep_alive();
}

void soak_callers::request_plan_route(const std::string& address, int version,
                                      steady_clock::time_point changed_at, asio::yield_context yield) {
    connection it{m_context};
    error_code ec;
    it.stream.expires_after(response_timeout);
    it.stream.async_connect(standins::parse_endpoint(address), yield[ec]);
    auto request = next_request();
    request.idempotent = true;
    request.body.clear();
    request.target = "/v" + std::to_string(version) + '/' + request.id;
    m_checker.on_request_sent(request);
    const std::string bytes = bytes_of(request);
    http::response<http::string_body> message;
    if (!ec) {
        asio::async_write(it.stream, asio::buffer(bytes), yield[ec]);
    }
    if (!ec) {
        http::async_read(it.stream, it.buffer, message, yield[ec]);
    }
    if (!ec && message.result_int() == 404 && m_faults.fault_free_since(changed_at)) {
        m_checker.add_violation("config", request.id,
                                "version " + std::to_string(version) + " is not in force");
    }
}

} // namespace cornelpier::soak
