#pragma once

#include "cornelpier/node/traffic_actions.hpp"

#include "daemon/caller/caller_context.hpp"
#include "daemon/caller/request_check.hpp"
#include "daemon/net/lazy_deadline.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <array>
#include <memory>

namespace cornelpier {

/// Largest head of a caller's request, in bytes.
inline constexpr std::size_t max_head_bytes = std::size_t{16} * 1024;

/// Largest body of a caller's request, in bytes.
inline constexpr std::size_t max_body_bytes = std::size_t{1024} * 1024;

/// One caller's connection. Requests are handled one at a time, in order. Everything runs on the strand of
/// the socket; a read is pending at all times, so that a caller that goes away is noticed.
class caller_session : public std::enable_shared_from_this<caller_session> {
  public:
    /// @param socket connected, with a strand as executor.
    caller_session(boost::asio::ip::tcp::socket socket, std::shared_ptr<caller_context> context);
    ~caller_session();

    caller_session(const caller_session&) = delete;
    caller_session& operator=(const caller_session&) = delete;
    caller_session(caller_session&&) = delete;
    caller_session& operator=(caller_session&&) = delete;

    /// Begins to read requests.
    void start();

    /// Refuses the connection with 503.
    void reject();

    /// Sends the answer to the call in progress. Callable on any thread.
    void answer(answer_caller answer);

    /// Ends the connection as soon as no request is in progress. Callable on any thread.
    void shut_down();

  private:
    enum class phase : std::uint8_t { idle, head, body, in_call, writing, lingering, closed };
    struct request_parser;

    void read();
    void on_read(boost::system::error_code ec, std::size_t n);
    void on_gone();
    void feed();
    void read_head();
    void parse_head(std::size_t head_size);
    void fail_head(boost::system::error_code ec);
    void accept_head(checked_head head);
    void read_body();
    void dispatch();

    void fail(const request_problem& problem);
    void write(answer_caller answer, bool close);
    void write_some();
    void on_written();
    void linger();
    void close();
    void on_expired();
    void on_stopping();

    boost::asio::ip::tcp::socket m_socket;
    std::shared_ptr<caller_context> m_context;
    lazy_deadline m_deadline;
    std::array<char, 4096> m_input{}; ///< The pending read writes here, so that the buffer can be consumed.
    boost::beast::flat_buffer m_buffer;
    std::unique_ptr<request_parser> m_parser;
    std::unique_ptr<class answer_writer> m_writer;
    checked_head m_head;
    call_id m_call;
    phase m_phase = phase::idle;
    bool m_reading = false;
    bool m_keep_alive = true;
    bool m_first_request = true;
};

} // namespace cornelpier
