#include "daemon/link/link_manager.hpp"
#include "daemon/net/endpoint.hpp"
#include "daemon/platform/http_get.hpp"
#include "tests/daemon/support/answering_server.hpp"
#include "tests/daemon/support/raw_connection.hpp"
#include "tests/daemon/support/replying_server.hpp"
#include "tests/daemon/support/running_context.hpp"

#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <future>
#include <thread>

namespace cornelpier {

namespace {

using namespace std::chrono_literals;
using boost::asio::ip::tcp;
using clock = std::chrono::steady_clock;

/// Largest number of bytes that a peer takes of what is no message; kernel buffers included.
constexpr std::size_t byte_bound = std::size_t{16} * 1024 * 1024;
constexpr auto time_bound = 10s;

/// Time within which a caller's head must be complete. What a caller sends is read for a while after it was
/// refused, so that it reads the refusal: its bytes are bounded by time.
constexpr auto head_limit = 5s;

struct form {
    std::string name;
    std::string start;
    std::string endless;
};

const std::string block(64 * 1024, 'a');

/// Sends until the peer closes.
/// @param limit bytes after which it stops.
/// @return bytes that the peer let it send.
std::size_t send_without_end(const std::string& address, const form& bytes, std::size_t limit) {
    boost::asio::io_context context;
    tcp::socket socket(context);
    socket.connect(std::get<socket_address>(parse_address(address)).tcp());
    boost::system::error_code ec;
    std::size_t n = boost::asio::write(socket, boost::asio::buffer(bytes.start), ec);
    const auto end = clock::now() + time_bound;
    while (!ec && n < limit && clock::now() < end) {
        n += boost::asio::write(socket, boost::asio::buffer(bytes.endless), ec);
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

TEST_CASE("bytes without end from the store are cut off at a bound and count as no answer",
          "[store][field-reports]") {
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const std::vector<form> forms{
        {"status line", "HTTP/1.1 200 ", block},
        {"field", ok + "X-A: ", block},
        {"fields", ok, repeated("X-A: b\r\n")},
        {"chunk size", ok + "Transfer-Encoding: chunked\r\n\r\n", std::string(64 * 1024, '0')},
        {"chunk extension", ok + "Transfer-Encoding: chunked\r\n\r\n1;a=", block},
        {"chunks", ok + "Transfer-Encoding: chunked\r\n\r\n", "10000\r\n" + block + "\r\n"},
        {"trailer", ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-A: " + block + "\r\n"},
        {"body without a length", ok + "\r\n", block},
        {"interim answers", "HTTP/1.1 100 Continue\r\n\r\n", repeated("HTTP/1.1 100 Continue\r\n\r\n")},
        {"no answer at all", "", block},
    };
    for (const auto& it : forms) {
        INFO(it.name);
        test::replying_server store([&](std::size_t, const std::string&) { return it.start; }, it.endless);
        test::running_context threads;
        test::inbox<http_get_outcome> outcomes;
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
        CHECK(store.bytes < byte_bound);
    }
}

TEST_CASE("bytes without end from a caller end its connection and reach no server",
          "[caller][field-reports]") {
    const std::string post = "POST / HTTP/1.1\r\nHost: comenzi\r\n";
    const std::string chunked = post + "Transfer-Encoding: chunked\r\n\r\n";
    const std::string served = "GET / HTTP/1.1\r\nHost: comenzi\r\n\r\n";
    const std::vector<form> forms{
        {"request line", "GET /", block},
        {"field", post + "X-A: ", block},
        {"fields", post, repeated("X-A: b\r\n")},
        {"chunk size", chunked, std::string(64 * 1024, '0')},
        {"chunk extension", chunked + "1;a=", block},
        {"chunks", chunked, "10000\r\n" + block + "\r\n"},
        {"trailer", chunked + "0\r\n", "X-A: " + block + "\r\n"},
        {"no request at all", "", block},
        {"empty lines", "", repeated("\r\n")},
        {"empty lines behind a request", served, repeated("\r\n")},
    };
    for (const auto& it : forms) {
        INFO(it.name);
        test::answering_server server;
        const auto begin = clock::now();
        auto sending =
            std::async(std::launch::async, [&] { send_without_end(server.address, it, SIZE_MAX); });
        // Others are served meanwhile.
        std::this_thread::sleep_for(100ms);
        test::raw_connection other(server.address);
        other.send(served);
        CHECK(other.read_until("\r\n").starts_with("HTTP/1.1 204"));

        sending.get();
        CHECK(clock::now() - begin < head_limit);
        CHECK(server.calls.wait(1, 0ms).size() == (it.start == served ? 2 : 1));
    }
}

TEST_CASE("bytes without end from a node end the link", "[link][field-reports]") {
    const std::string opening = "GET / HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
                                "Sec-WebSocket-Version: 13\r\n"
                                "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n";
    // First fragments of a message that never ends; the mask is zero.
    const std::string fragment = std::string("\x00\xfe\xff\xff\x00\x00\x00\x00", 8) + std::string(65535, 'a');
    const std::string first = std::string("\x02\x80\x00\x00\x00\x00", 6);
    const std::vector<form> forms{
        {"request line", "GET /", block},
        {"fields", opening, repeated("X-A: b\r\n")},
        {"fragments", opening + "\r\n" + first, fragment},
        {"no frame", opening + "\r\n", block},
    };
    for (const auto& it : forms) {
        INFO(it.name);
        test::running_context threads;
        test::inbox<link_id> closed;
        test::inbox<bool> received;
        const std::string address = test::free_address();
        link_manager links(threads.context,
                           {[](link_id) {}, [&](link_id link) { closed.push(link); },
                            [&](link_id, traffic_message) { received.push(true); },
                            [&](control_message) { received.push(true); }, [](const event_record&) {}});
        REQUIRE(links.bind(address).reason.empty());
        links.start();
        CHECK(send_without_end(address, it, byte_bound) < byte_bound);
        CHECK(received.wait(1, 0ms).empty());
        threads.stop();
    }
}

} // namespace cornelpier
