#pragma once

#include "cornelpier/message/http_fields.hpp"
#include "cornelpier/node/traffic_events.hpp"

#include "daemon/net/lazy_deadline.hpp"
#include "daemon/server/connection_pool.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <variant>

namespace cornelpier {

/// One request and its answer on one connection. Everything runs on one strand. The callback is called once,
/// unless the exchange is abandoned.
class server_exchange : public std::enable_shared_from_this<server_exchange> {
  public:
    using executor = boost::asio::strand<boost::asio::io_context::executor_type>;
    using outcome = std::variant<http_response, server_failure>;

    /// Receives the outcome and the connection if it can be used again.
    using callback = std::function<void(outcome, connection_pool::socket_ptr)>;

    /// Time limit for a new connection.
    static constexpr std::chrono::milliseconds connect_limit{250};

    /// @param strand runs the exchange.
    /// @param request its fields are sent as they are, with Host and Content-Length among them.
    /// @param on_done see `callback`.
    server_exchange(const executor& strand, http_request request, callback on_done);
    ~server_exchange();

    server_exchange(const server_exchange&) = delete;
    server_exchange& operator=(const server_exchange&) = delete;
    server_exchange(server_exchange&&) = delete;
    server_exchange& operator=(server_exchange&&) = delete;

    /// Starts on an open connection.
    void start(connection_pool::socket_ptr socket, std::chrono::microseconds timeout);

    /// Starts on a new connection.
    void start(const boost::asio::ip::tcp::endpoint& server, std::chrono::microseconds timeout);

    /// Closes the connection without calling back.
    void abandon();

  private:
    struct http_state;

    void on_connected(boost::system::error_code ec, std::chrono::steady_clock::time_point deadline);
    void write(std::chrono::steady_clock::duration remaining);
    void read();
    void on_head(boost::system::error_code ec);
    void on_read(boost::system::error_code ec);
    void on_expired();
    void fail(server_failure kind);
    void finish(outcome result, connection_pool::socket_ptr reusable);

    executor m_strand;
    http_request m_request;
    callback m_on_done;
    lazy_deadline m_deadline;
    connection_pool::socket_ptr m_socket;
    std::unique_ptr<http_state> m_http;
    bool m_written = false;
};

} // namespace cornelpier
