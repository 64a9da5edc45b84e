#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <cstddef>
#include <functional>
#include <list>
#include <string>
#include <thread>

namespace cornelpier::test {

/// How a faulty server ends a connection behind its response.
enum class connection_end {
    reset,             ///< With a reset.
    close,             ///< Closes it; with unread bytes of the request this sends a reset as well.
    drained_close,     ///< Closes it once it has read what has arrived, while more may be on its way.
    half_close,        ///< Closes its sending side and reads the rest of the request.
    silent_half_close, ///< Closes its sending side and reads nothing more.
    late_reset,        ///< Closes its sending side, reads nothing more and resets the connection later.
    keep_open,         ///< Reads the rest of the request and serves the next one.
};

/// What a faulty server does with a request.
struct faulty_response {
    std::string bytes;                          ///< Sent as they are.
    connection_end end = connection_end::reset; ///< Follows them.
    std::size_t body_bytes_read = 0;            ///< Bytes of the request's body that are read before.
};

/// HTTP server that sends arbitrary bytes, using one thread per connection.
class faulty_server {
  public:
    /// Chooses the response to a request from its head; called on several threads.
    using reply = std::function<faulty_response(const std::string& head)>;

    /// @param endpoint to listen on; port 0 stands for any.
    explicit faulty_server(reply make_reply, const boost::asio::ip::tcp::endpoint& endpoint = {
                                                 boost::asio::ip::address_v4::loopback(), 0});
    ~faulty_server();

    faulty_server(const faulty_server&) = delete;
    faulty_server& operator=(const faulty_server&) = delete;
    faulty_server(faulty_server&&) = delete;
    faulty_server& operator=(faulty_server&&) = delete;

    /// @return bytes of the latest request's body that were not read when its connection was closed.
    [[nodiscard]] std::size_t unread_bytes() const { return m_unread_bytes; }

    std::string address;

  private:
    using tcp = boost::asio::ip::tcp;

    struct connection {
        std::thread thread;
        std::atomic<bool> ended = false;
    };

    void accept();
    void join_ended();
    void serve(tcp::socket socket);
    /// Ends the connection as the response says.
    /// @param unread bytes of the request's body that have not been read.
    /// @return whether the connection stays open.
    bool end_connection(tcp::socket& socket, connection_end end, std::size_t unread);
    void wait_until_stopping() const;

    reply m_make_reply;
    std::atomic<bool> m_stopping = false;
    std::atomic<std::size_t> m_unread_bytes = 0;
    boost::asio::io_context m_context;
    tcp::acceptor m_acceptor;
    std::list<connection> m_connections; ///< Used by the accepting thread only, and once it has ended.
    std::thread m_accepting;
};

} // namespace cornelpier::test
