#include "platform/store_client.hpp"
#include "tests/daemon/support/running_context.hpp"

#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <string>
#include <thread>

namespace cornelpier::platform {

namespace {

using namespace std::chrono_literals;
using boost::asio::ip::tcp;

/// Largest value of the store, in the encoding of its responses.
constexpr std::size_t value_bytes = std::size_t{1024} * 1024 * 4 / 3;

/// Bytes that the slowest link of the platform carries in 50 ms.
constexpr auto part_time = 50ms;
constexpr std::size_t part_bytes = 10'000'000 / 8 / 20;

/// Limit for a call whose response stops arriving.
constexpr auto stalled_call_limit = 2s;

/// Store that sends one response over a slow link.
class slow_store {
  public:
    /// @param sent_bytes of the body, after which nothing more is sent.
    slow_store(std::string body, std::size_t sent_bytes)
        : m_acceptor(m_context, {boost::asio::ip::address_v4::loopback(), 0}),
          m_thread([this, body = std::move(body), sent_bytes] { serve(body, sent_bytes); }) {}

    ~slow_store() { m_thread.join(); }

    slow_store(const slow_store&) = delete;
    slow_store& operator=(const slow_store&) = delete;
    slow_store(slow_store&&) = delete;
    slow_store& operator=(slow_store&&) = delete;

    [[nodiscard]] tcp::endpoint endpoint() const { return m_acceptor.local_endpoint(); }

  private:
    void serve(const std::string& body, std::size_t sent_bytes) {
        auto socket = m_acceptor.accept();
        boost::system::error_code ec;
        const std::string head =
            "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
        boost::asio::write(socket, boost::asio::buffer(head), ec);
        for (std::size_t n = 0; n < sent_bytes && !ec; n += part_bytes) {
            const std::size_t size = std::min(part_bytes, sent_bytes - n);
            boost::asio::write(socket, boost::asio::buffer(body.data() + n, size), ec);
            std::this_thread::sleep_for(part_time);
        }
        // Returns when the client closes the connection.
        char byte = 0;
        while (!ec) {
            socket.read_some(boost::asio::buffer(&byte, 1), ec);
        }
    }

    boost::asio::io_context m_context;
    tcp::acceptor m_acceptor;
    std::thread m_thread;
};

std::string page_with_large_value() {
    return R"({"current_rev":7,"has_more":false,"items":[{"key":"op/config","revision":7,"value":")" +
           std::string(value_bytes, 'A') + R"("}]})";
}

std::vector<page_outcome> list(const slow_store& store, std::chrono::milliseconds limit) {
    test::running_context threads;
    test::value_recorder<page_outcome> outcomes;
    store_client client(threads.context, store.endpoint());
    client.list("", "", [&](page_outcome it) { outcomes.push(std::move(it)); });
    auto result = outcomes.wait(1, limit);
    threads.stop();
    return result;
}

} // namespace

// Guards against a node that never learns of a large plan, since each of its calls ends before the response.
TEST_CASE("a response of the store that keeps arriving is read to its end",
          "[platform][slow-response][field-reports]") {
    const std::string page = page_with_large_value();
    const slow_store store(page, page.size());
    const auto outcomes = list(store, 10s);
    REQUIRE(outcomes.size() == 1);
    CHECK(std::holds_alternative<store_page>(outcomes.front()));
}

TEST_CASE("a response of the store that stops arriving ends the call",
          "[platform][slow-response][field-reports]") {
    const std::string page = page_with_large_value();
    const slow_store store(page, page.size() / 4);
    const auto outcomes = list(store, stalled_call_limit);
    REQUIRE(outcomes.size() == 1);
    CHECK(std::get<store_failure>(outcomes.front()) == store_failure::unreachable);
}

} // namespace cornelpier::platform
