#pragma once

#include "cornelpier/node/traffic_events.hpp"

#include "daemon/net/lazy_deadline.hpp"
#include "daemon/server/connection_pool.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>

#include <chrono>
#include <functional>
#include <memory>

namespace cornelpier {

/// Opens a connection to learn whether the server's process listens. All handlers run on one strand.
///
/// The kernel closes the connections of a process that ends before its listening socket, so that a connection
/// may still be accepted. It is therefore observed for `observation_time`; if it is closed, the check starts
/// again.
class server_check : public std::enable_shared_from_this<server_check> {
  public:
    using executor = boost::asio::strand<boost::asio::io_context::executor_type>;

    /// A server that has ended closes the connection within microseconds.
    static constexpr std::chrono::milliseconds observation_time{5};

    /// A server without room resets connections, too.
    static constexpr int max_connections = 3;

    /// Receives the result and, if the server listens, the open connection.
    using callback = std::function<void(server_presence, connection_pool::socket_ptr)>;

    /// @param strand runs the check.
    /// @param on_done called once.
    server_check(const executor& strand, callback on_done);

    void start(const boost::asio::ip::tcp::endpoint& server);

  private:
    void connect();
    void on_connected(boost::system::error_code ec);
    void on_readable(boost::system::error_code ec);
    void retry();
    void on_timeout();
    void finish(server_presence presence);

    executor m_strand;
    boost::asio::ip::tcp::endpoint m_server;
    int m_connections = 0;
    bool m_connected = false;
    connection_pool::socket_ptr m_socket;
    callback m_on_done;
    lazy_deadline m_deadline;
};

} // namespace cornelpier
