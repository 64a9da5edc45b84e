#include "daemon/link/link_manager.hpp"
#include "daemon/net/endpoint.hpp"
#include "daemon/operator/operator_server.hpp"
#include "daemon/platform/http_get.hpp"
#include "tests/daemon/support/endless_fields.hpp"
#include "tests/daemon/support/raw_connection.hpp"
#include "tests/daemon/support/running_context.hpp"
#include "tests/daemon/support/stub_caller_server.hpp"
#include "tests/daemon/support/stub_http_server.hpp"

#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <future>
#include <thread>

namespace cornelpier {

namespace {

using namespace std::chrono_literals;
using boost::asio::ip::tcp;
using clock = std::chrono::steady_clock;

/// Upper bound on the bytes that a peer accepts of an invalid message, including kernel buffers.
constexpr std::size_t max_accepted_bytes = std::size_t{16} * 1024 * 1024;
constexpr auto max_send_time = 10s;

/// Timeout for the head of a request. After a request is refused, input is still read for a while so that the
/// caller can read the refusal. Therefore input from callers is bounded by time, not by size.
constexpr auto head_timeout = 5s;

struct input_case {
    std::string name;
    std::string start;
    std::string repeated_bytes;
};

const std::string block(64 * 1024, 'a');

/// Sends until the peer closes the connection.
/// @param limit number of bytes after which sending stops.
/// @return number of bytes sent.
std::size_t send_endlessly(const std::string& address, const input_case& bytes, std::size_t limit) {
    boost::asio::io_context context;
    tcp::socket socket(context);
    socket.connect(std::get<socket_address>(parse_address(address)).tcp());
    boost::system::error_code ec;
    std::size_t n = boost::asio::write(socket, boost::asio::buffer(bytes.start), ec);
    const auto end = clock::now() + max_send_time;
    while (!ec && n < limit && clock::now() < end) {
        n += boost::asio::write(socket, boost::asio::buffer(bytes.repeated_bytes), ec);
    }
    return n;
}

std::string repeated(const std::string& text) {
    std::string result;
    while (result.size() < block.size()) {
        result += text;
    }
    return result;
}

} // namespace

TEST_CASE("unbounded input from the store ends at a limit and is not a valid response",
          "[store][field-reports]") {
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const std::vector<input_case> cases{
        {"status line", "HTTP/1.1 200 ", block},
        {"field", ok + "X-A: ", block},
        {"fields", ok, repeated("X-A: b\r\n")},
        {"chunk size", ok + "Transfer-Encoding: chunked\r\n\r\n", std::string(64 * 1024, '0')},
        {"chunk extension", ok + "Transfer-Encoding: chunked\r\n\r\n1;a=", block},
        {"chunks", ok + "Transfer-Encoding: chunked\r\n\r\n", "10000\r\n" + block + "\r\n"},
        {"trailer", ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-A: " + block + "\r\n"},
        {"body without a length", ok + "\r\n", block},
        {"interim responses", "HTTP/1.1 100 Continue\r\n\r\n", repeated("HTTP/1.1 100 Continue\r\n\r\n")},
        {"no response at all", "", block},
    };
    for (const auto& it : cases) {
        INFO(it.name);
        test::stub_http_server store([&](std::size_t, const std::string&) { return it.start; },
                                     it.repeated_bytes);
        test::running_context threads;
        test::value_recorder<http_get_outcome> outcomes;
        http_get_request request;
        request.server = std::get<socket_address>(parse_address(store.address)).tcp();
        request.host = "store";
        request.path = "/";
        request.max_body_bytes = std::size_t{1024} * 1024;
        http_get(threads.context, request, [&](http_get_outcome got) { outcomes.push(std::move(got)); });
        const auto got = outcomes.wait(1, 6s);
        threads.stop();
        REQUIRE(got.size() == 1);
        CHECK(got[0].status != 200);
        CHECK(store.bytes < max_accepted_bytes);
    }
}

// The same fault as in responses of servers, at the two other places that read messages.
TEST_CASE("short fields without end from the store or an operator's client end at a limit",
          "[store][operator][field-reports]") {
    SECTION("store") {
        const auto input = test::make_endless_fields("HTTP/1.1 200 OK\r\n");
        test::stub_http_server store([&](std::size_t, const std::string&) { return input.head; },
                                     input.repeated_bytes);
        test::running_context threads;
        test::value_recorder<http_get_outcome> outcomes;
        http_get_request request;
        request.server = std::get<socket_address>(parse_address(store.address)).tcp();
        request.host = "store";
        request.path = "/";
        request.timeout = max_send_time;
        http_get(threads.context, request, [&](http_get_outcome got) { outcomes.push(std::move(got)); });
        const auto got = outcomes.wait(1, head_timeout);
        threads.stop();
        REQUIRE(got.size() == 1);
        CHECK(got[0].status != 200);
        CHECK(store.bytes < max_accepted_bytes);
    }
    SECTION("operator") {
        test::running_context threads;
        operator_server server(threads.context, [](const std::string&, const auto&) {});
        const std::string address = test::free_address();
        REQUIRE(server.bind(address).reason.empty());
        server.start();
        const auto input = test::make_endless_fields("GET / HTTP/1.1\r\n");
        const input_case endless{"fields", input.head, input.repeated_bytes};
        CHECK(send_endlessly(address, endless, max_accepted_bytes) < max_accepted_bytes);
        threads.stop();
    }
}

TEST_CASE("unbounded input from a caller closes its connection and is not dispatched",
          "[caller][field-reports]") {
    const std::string post = "POST / HTTP/1.1\r\nHost: comenzi\r\n";
    const std::string chunked = post + "Transfer-Encoding: chunked\r\n\r\n";
    const std::string valid_request = "GET / HTTP/1.1\r\nHost: comenzi\r\n\r\n";
    const std::vector<input_case> cases{
        {"request line", "GET /", block},
        {"field", post + "X-A: ", block},
        {"fields", post, repeated("X-A: b\r\n")},
        {"chunk size", chunked, std::string(64 * 1024, '0')},
        {"chunk extension", chunked + "1;a=", block},
        {"chunks", chunked, "10000\r\n" + block + "\r\n"},
        {"trailer", chunked + "0\r\n", "X-A: " + block + "\r\n"},
        {"no request at all", "", block},
        {"empty lines", "", repeated("\r\n")},
        {"empty lines after a request", valid_request, repeated("\r\n")},
    };
    for (const auto& it : cases) {
        INFO(it.name);
        test::stub_caller_server server;
        const auto begin = clock::now();
        auto sending = std::async(std::launch::async, [&] { send_endlessly(server.address, it, SIZE_MAX); });
        // Other callers are served meanwhile.
        std::this_thread::sleep_for(100ms);
        test::raw_connection other(server.address);
        other.send(valid_request);
        CHECK(other.read_until("\r\n").starts_with("HTTP/1.1 204"));

        sending.get();
        CHECK(clock::now() - begin < head_timeout);
        CHECK(server.calls.wait(1, 0ms).size() == (it.start == valid_request ? 2 : 1));
    }
}

TEST_CASE("unbounded input from a node closes the link", "[link][field-reports]") {
    const std::string opening = "GET / HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
                                "Sec-WebSocket-Version: 13\r\n"
                                "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n";
    // First fragments of an endless message; the masking key is zero.
    const std::string fragment = std::string("\x00\xfe\xff\xff\x00\x00\x00\x00", 8) + std::string(65535, 'a');
    const std::string first = std::string("\x02\x80\x00\x00\x00\x00", 6);
    const std::vector<input_case> cases{
        {"request line", "GET /", block},
        {"fields", opening, repeated("X-A: b\r\n")},
        {"fragments", opening + "\r\n" + first, fragment},
        {"no frame", opening + "\r\n", block},
    };
    for (const auto& it : cases) {
        INFO(it.name);
        test::running_context threads;
        test::value_recorder<link_id> closed;
        test::value_recorder<bool> received;
        const std::string address = test::free_address();
        link_manager links(threads.context,
                           {[](link_id) {}, [&](link_id link) { closed.push(link); },
                            [&](link_id, traffic_message) { received.push(true); },
                            [&](control_message) { received.push(true); }, [](const event_record&) {}});
        REQUIRE(links.bind(address).reason.empty());
        links.start();
        CHECK(send_endlessly(address, it, max_accepted_bytes) < max_accepted_bytes);
        CHECK(received.wait(1, 0ms).empty());
        threads.stop();
    }
}

} // namespace cornelpier
