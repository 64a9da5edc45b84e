#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <cstddef>
#include <functional>
#include <string>
#include <thread>

namespace cornelpier::test {

/// Server that answers the n-th request of a connection with what a function makes of it, and counts the
/// bytes that the peer let it send.
class replying_server {
  public:
    using reply = std::function<std::string(std::size_t n, const std::string& request)>;

    /// @param endless sent again and again after the first answer.
    explicit replying_server(reply make, std::string endless = {});
    ~replying_server();

    replying_server(const replying_server&) = delete;
    replying_server& operator=(const replying_server&) = delete;
    replying_server(replying_server&&) = delete;
    replying_server& operator=(replying_server&&) = delete;

    std::string address;
    std::atomic<std::size_t> bytes = 0;
    std::atomic<std::size_t> connections = 0;
    std::atomic<bool> stopping = false;

  private:
    void run();
    void serve(boost::asio::ip::tcp::socket& socket);

    reply m_make;
    std::string m_endless;
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::thread m_thread;
};

} // namespace cornelpier::test
