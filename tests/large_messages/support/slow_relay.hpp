#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <cstddef>
#include <memory>
#include <string>
#include <thread>

namespace cornelpier::test {

/// Forwards one TCP connection at a limited rate with small buffers, like a slow network.
class slow_relay {
  public:
    /// @param target `IP:port` to forward to.
    /// @param bytes_per_second rate of each direction.
    slow_relay(const std::string& target, std::size_t bytes_per_second);
    ~slow_relay();

    slow_relay(const slow_relay&) = delete;
    slow_relay& operator=(const slow_relay&) = delete;
    slow_relay(slow_relay&&) = delete;
    slow_relay& operator=(slow_relay&&) = delete;

    /// @return the address to connect to, as `IP:port`.
    [[nodiscard]] const std::string& address() const { return m_address; }

    /// Closes both connections.
    void cut();

  private:
    void accept();
    void forward(boost::asio::ip::tcp::socket& from, boost::asio::ip::tcp::socket& to);

    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::ip::tcp::socket m_client;
    boost::asio::ip::tcp::socket m_server;
    std::string m_target;
    std::size_t m_bytes_per_second;
    std::string m_address;
    std::thread m_thread;
};

} // namespace cornelpier::test
