#include "tests/large_messages/support/slow_relay.hpp"

#include "daemon/net/endpoint.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <chrono>

namespace cornelpier::test {

namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr int buffer_bytes = 8 * 1024;
constexpr std::size_t chunk_bytes = 4096;

} // namespace

slow_relay::slow_relay(const std::string& target, std::size_t bytes_per_second)
    : m_acceptor(m_context), m_client(m_context), m_server(m_context), m_target(target),
      m_bytes_per_second(bytes_per_second) {
    m_acceptor.open(tcp::v4());
    m_acceptor.set_option(boost::asio::socket_base::receive_buffer_size(buffer_bytes));
    m_acceptor.bind({boost::asio::ip::address_v4::loopback(), 0});
    m_acceptor.listen();
    m_address = "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    m_thread = std::thread([this] { accept(); });
}

slow_relay::~slow_relay() {
    cut();
    m_thread.join();
}

void slow_relay::cut() {
    error_code ec;
    // Ends the blocking calls of the threads as well, unlike closing.
    m_client.shutdown(tcp::socket::shutdown_both, ec);
    m_server.shutdown(tcp::socket::shutdown_both, ec);
}

void slow_relay::accept() {
    error_code ec;
    m_acceptor.accept(m_client, ec);
    m_server.open(tcp::v4());
    m_server.set_option(boost::asio::socket_base::receive_buffer_size(buffer_bytes));
    m_server.set_option(tcp::no_delay(true));
    m_client.set_option(tcp::no_delay(true));
    m_server.connect(std::get<socket_address>(parse_address(m_target)).tcp(), ec);
    std::thread backward([this] { forward(m_server, m_client); });
    forward(m_client, m_server);
    backward.join();
}

void slow_relay::forward(tcp::socket& from, tcp::socket& to) {
    std::array<char, chunk_bytes> chunk{};
    error_code ec;
    while (!ec) {
        const std::size_t size = from.read_some(boost::asio::buffer(chunk), ec);
        if (ec) {
            break;
        }
        std::this_thread::sleep_for(std::chrono::microseconds{size * 1'000'000 / m_bytes_per_second});
        boost::asio::write(to, boost::asio::buffer(chunk.data(), size), ec);
    }
    cut();
}

} // namespace cornelpier::test
