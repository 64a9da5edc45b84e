#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <cstddef>
#include <functional>
#include <string>
#include <thread>

namespace cornelpier::test {

/// HTTP server that generates the response to the n-th request of a connection with a function and counts the
/// bytes that it could send. It serves one connection at a time.
class stub_http_server {
  public:
    using reply = std::function<std::string(std::size_t n, const std::string& request)>;

    /// @param repeated_bytes if not empty, sent endlessly after the first response.
    explicit stub_http_server(reply make_reply, std::string repeated_bytes = {});
    ~stub_http_server();

    stub_http_server(const stub_http_server&) = delete;
    stub_http_server& operator=(const stub_http_server&) = delete;
    stub_http_server(stub_http_server&&) = delete;
    stub_http_server& operator=(stub_http_server&&) = delete;

    std::string address;
    std::atomic<std::size_t> bytes = 0;
    std::atomic<std::size_t> connections = 0;
    std::atomic<bool> stopping = false;

  private:
    void run();
    void serve(boost::asio::ip::tcp::socket& socket);

    reply m_make_reply;
    std::string m_repeated_bytes;
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::thread m_thread;
};

} // namespace cornelpier::test
