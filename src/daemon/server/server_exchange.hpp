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

/// One request and its response on one connection. All handlers run on one strand. The callback is called
/// once, unless the exchange is cancelled.
class server_exchange : public std::enable_shared_from_this<server_exchange> {
  public:
    using executor = boost::asio::strand<boost::asio::io_context::executor_type>;
    using outcome = std::variant<http_response, server_failure>;

    /// Receives the outcome and, if it can be reused, the connection.
    using callback = std::function<void(outcome, reusable_connection)>;

    /// Rules for telling the response from bytes that do not belong to the request.
    struct response_rules {
        std::string request_id_field; ///< Echoed by the server; empty: not checked.
        std::string seal_field;       ///< Present on every successful response; empty: not checked.
        bool allow_unframed = false;  ///< The end of the connection may delimit a response.
        std::size_t max_body_bytes = default_body_limit_bytes; ///< A larger response counts as incomplete.
    };

    /// Timeout for opening a connection.
    static constexpr std::chrono::milliseconds connect_timeout{250};

    /// Time for a reset to follow the end of a response without a length. None follows from a server that
    /// keeps the connection and does not read the rest of the request.
    static constexpr std::chrono::milliseconds reset_timeout{500};

    /// @param strand runs the exchange.
    /// @param request sent with exactly these fields, which must include Host and Content-Length.
    /// @param on_done see `callback`.
    /// @param rules for accepting the response.
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

    /// Closes the connection without calling `on_done`.
    void cancel();

  private:
    using clock = std::chrono::steady_clock;

    struct http_state;

    enum class write_state {
        not_started, ///< No byte of the request has been written.
        in_progress,
        completed, ///< The whole request was handed to the system.
        failed,
    };

    void on_connected(boost::system::error_code ec, clock::time_point deadline);
    void write(clock::duration remaining);
    void on_written(boost::system::error_code ec);
    void read();
    void on_header_read(boost::system::error_code ec);
    void on_response_read(boost::system::error_code ec);
    /// Handles the end of the connection after a response without a length.
    void on_response_ended_by_close();
    /// Accepts such a response once no reset can follow, fails after a reset, or checks again later.
    void confirm_close();
    void process_response();
    /// Discards an interim response or one to another request and reads the next.
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
    clock::time_point m_expires_at; ///< Latest time of the outcome.
    write_state m_write = write_state::not_started;
    bool m_response_ended_by_close = false; ///< A response without a length awaits `confirm_close`.
    bool m_reused = false;                  ///< The connection has carried earlier requests.
    std::uint32_t m_skipped_responses = 0;  ///< Interim and unmatched responses so far.
    bool m_unmatched_response_seen = false; ///< The connection is then not reused.
};

} // namespace cornelpier
