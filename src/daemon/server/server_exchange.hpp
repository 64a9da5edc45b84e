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
    using callback = std::function<void(outcome, reusable_connection)>;

    /// How answers are told from bytes that belong to no request.
    struct response_rules {
        std::string request_id_field; ///< Repeated by the server; empty: not checked.
        std::string seal_field;       ///< Present on every success; empty: not checked.
        bool allow_unframed = false;  ///< An answer may end with its connection.
    };

    /// Time limit for a new connection.
    static constexpr std::chrono::milliseconds connect_timeout{250};

    /// @param strand runs the exchange.
    /// @param request its fields are sent as they are, with Host and Content-Length among them.
    /// @param on_done see `callback`.
    /// @param rules for the answer.
    server_exchange(const executor& strand, http_request request, callback on_done, response_rules rules);
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
    void cancel();

  private:
    struct http_state;

    void on_connected(boost::system::error_code ec, std::chrono::steady_clock::time_point deadline);
    void write(std::chrono::steady_clock::duration remaining);
    void read();
    void on_header_read(boost::system::error_code ec);
    void on_response_read(boost::system::error_code ec);
    void process_response();
    /// Reads on after an answer that is not the own one.
    void skip_response();
    [[nodiscard]] bool is_unmatched(const http_response& response) const;
    [[nodiscard]] bool is_authentic(const http_response& response) const;
    void on_timeout();
    void fail(server_failure kind);
    void finish(outcome result, reusable_connection connection);

    executor m_strand;
    http_request m_request;
    response_rules m_rules;
    callback m_on_done;
    lazy_deadline m_deadline;
    connection_pool::socket_ptr m_socket;
    std::unique_ptr<http_state> m_http;
    bool m_write_started = false;           ///< Some of the request may have reached the server.
    bool m_write_completed = false;         ///< All of it was written.
    bool m_reused = false;                  ///< The connection has carried requests before.
    std::uint32_t m_skipped_responses = 0;  ///< Answers that were not the own one.
    bool m_unmatched_response_seen = false; ///< The connection carried bytes that belong to no request.
};

} // namespace cornelpier
