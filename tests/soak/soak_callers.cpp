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

/// The routes' timeout and the time that the platform grants beyond it.
constexpr milliseconds answer_limit{1500 + 500};

constexpr milliseconds connect_limit{1000};
constexpr milliseconds reconnect_pause{50};

/// Between an answer and the next request on a connection.
constexpr int least_pause_ms = 5;
constexpr int most_pause_ms = 60;

/// One request in so many is left by its caller, this long after it was sent.
constexpr int leave_one_in = 40;
constexpr milliseconds leave_after{15};

/// Longest pause after a refusal.
constexpr double longest_retry_s = 0.3;

const char* method_of(const request_record& request) {
    return request.may_repeat ? "GET" : "POST";
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

soak_callers::soak_callers(asio::io_context& context, promise_ledger& ledger, const fault_clock& faults,
                           std::uint32_t seed)
    : m_context(context), m_ledger(ledger), m_faults(faults), m_random(seed) {}

void soak_callers::start(const std::string& address, int connections) {
    for (int n = 0; n < connections; ++n) {
        asio::spawn(m_context, [this, address](asio::yield_context yield) { call_on(address, yield); });
    }
}

void soak_callers::check_plan(const std::string& address, int version, steady_clock::time_point changed_at) {
    asio::spawn(m_context, [this, address, version, changed_at](asio::yield_context yield) {
        ask_plan(address, version, changed_at, yield);
    });
}

void soak_callers::sleep(milliseconds time, asio::yield_context yield) {
    asio::steady_timer timer{m_context, time};
    timer.async_wait(yield);
}

request_record soak_callers::next_request() {
    request_record result;
    result.id = "q" + std::to_string(++m_last_id);
    result.may_repeat = between(0, 1) == 0;
    result.target = (result.may_repeat ? "/safe/" : "/unsafe/") + result.id;
    if (!result.may_repeat) {
        result.body = "order " + result.id;
    }
    result.deadline = caller_deadline;
    return result;
}

void soak_callers::call_on(const std::string& address, asio::yield_context yield) {
    while (!m_stopped) {
        connection it{m_context};
        error_code ec;
        it.stream.expires_after(connect_limit);
        it.stream.async_connect(standins::parse_endpoint(address), yield[ec]);
        while (!ec && !m_stopped && exchange(it, address, yield)) {
            sleep(milliseconds{between(least_pause_ms, most_pause_ms)}, yield);
        }
        sleep(reconnect_pause, yield);
    }
}

/// @return whether the connection can be used again.
bool soak_callers::exchange(connection& it, const std::string& address, asio::yield_context yield) {
    const auto request = next_request();
    const auto sent_at = steady_clock::now();
    const std::string bytes = bytes_of(request);
    m_ledger.on_sent(request);
    it.stream.expires_after(answer_limit);
    error_code ec;
    asio::async_write(it.stream, asio::buffer(bytes), yield[ec]);
    if (!ec && between(1, leave_one_in) == 1) {
        sleep(leave_after, yield);
        m_ledger.on_broken(request.id, true);
        return false;
    }

    http::response<http::string_body> message;
    if (!ec) {
        http::async_read(it.stream, it.buffer, message, yield[ec]);
    }
    const bool excused = !m_faults.calm_since(sent_at);
    if (ec == boost::beast::error::timeout) {
        m_ledger.on_held(request.id, excused);
        return false;
    }
    if (ec) {
        m_ledger.on_broken(request.id, excused);
        return false;
    }

    m_ledger.on_answer(request.id, answer_of(message));
    m_served[address] += message.result_int() == 200 ? 1 : 0;
    if (const auto retry = message.find(http::field::retry_after); retry != message.end()) {
        const double wait =
            std::min(std::strtod(std::string{retry->value()}.c_str(), nullptr), longest_retry_s);
        sleep(milliseconds{static_cast<int>(1000 * wait)}, yield);
    }
    return message.keep_alive();
}

void soak_callers::ask_plan(const std::string& address, int version, steady_clock::time_point changed_at,
                            asio::yield_context yield) {
    connection it{m_context};
    error_code ec;
    it.stream.expires_after(answer_limit);
    it.stream.async_connect(standins::parse_endpoint(address), yield[ec]);
    auto request = next_request();
    request.may_repeat = true;
    request.body.clear();
    request.target = "/v" + std::to_string(version) + '/' + request.id;
    m_ledger.on_sent(request);
    const std::string bytes = bytes_of(request);
    http::response<http::string_body> message;
    if (!ec) {
        asio::async_write(it.stream, asio::buffer(bytes), yield[ec]);
    }
    if (!ec) {
        http::async_read(it.stream, it.buffer, message, yield[ec]);
    }
    if (!ec && message.result_int() == 404 && m_faults.calm_since(changed_at)) {
        m_ledger.complain("config", request.id, "version " + std::to_string(version) + " is not in force");
    }
}

} // namespace cornelpier::soak
