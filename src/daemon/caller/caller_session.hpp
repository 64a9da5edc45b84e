#pragma once

#include "cornelpier/node/traffic_actions.hpp"

#include "daemon/caller/body_reader.hpp"
#include "daemon/caller/caller_context.hpp"
#include "daemon/caller/caller_progress.hpp"
#include "daemon/caller/request_validation.hpp"
#include "daemon/net/lazy_deadline.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <array>
#include <deque>
#include <memory>
#include <optional>

namespace cornelpier {

/// Bytes of responses that a connection may hold before further requests wait until they are read.
inline constexpr std::size_t max_unread_response_bytes = std::size_t{256} * 1024;

/// Concurrent calls per connection.
inline constexpr std::size_t max_pipelined_calls = 16;

/// HTTP/1.1 connection of one caller. Pipelined lookups run concurrently, all other requests one at a time;
/// responses are written in request order. All handlers run on the socket's strand. A read is kept pending
/// to detect that the caller disconnects, except while the input buffer is full.
class caller_session : public std::enable_shared_from_this<caller_session> {
  public:
    /// @param socket connected, with a strand as executor.
    caller_session(boost::asio::ip::tcp::socket socket, std::shared_ptr<caller_context> context);
    ~caller_session();

    caller_session(const caller_session&) = delete;
    caller_session& operator=(const caller_session&) = delete;
    caller_session(caller_session&&) = delete;
    caller_session& operator=(caller_session&&) = delete;

    /// Starts reading requests.
    void start();

    /// Responds with 503 and closes the connection.
    void reject_connection();

    /// Queues the response to a call in progress; it is written after those of earlier requests. Callable on
    /// any thread.
    void answer(answer_caller answer);

    /// Closes the connection once no request is in progress. Callable on any thread.
    void shut_down();

    /// Refuses a request that is incomplete or not yet dispatched, because the process is about to end.
    /// Callable on any thread.
    void refuse_unfinished_request();

    /// Refuses the unfinished request, or closes the connection, if the caller still makes no progress.
    /// Callable on any thread.
    void close_if_stalled();

    /// @return the progress of the caller. Callable on any thread.
    [[nodiscard]] const caller_progress& progress() const noexcept { return m_progress; }

  private:
    /// State of the input. `blocked`: a complete request waits for the calls in progress; `ended`: no further
    /// request is accepted; `lingering`: the last response was written and input is discarded.
    enum class input : std::uint8_t { idle, head, body, blocked, ended, lingering, closed };

    /// An accepted request whose response is not being written yet.
    struct exchange {
        call_id call;
        bool is_lookup = false;
        bool head_request = false;
        std::optional<answer_caller> answer;
        byte_reservation head;
        byte_reservation response;
    };

    void read();
    void on_read(boost::system::error_code ec, std::size_t n);
    void on_disconnected();
    void abandon_calls();
    void process_input();
    void begin_request();
    void read_head();
    void parse_head(std::size_t head_size);
    void reject_head(boost::system::error_code ec);
    void accept_head(validated_head head);
    [[nodiscard]] bool answer_from_head();
    [[nodiscard]] bool has_large_body() const;
    void read_body();
    void on_body_bytes(std::size_t n);
    void on_request_complete();
    void dispatch_call();
    [[nodiscard]] bool must_wait_for_earlier_calls() const;

    void reject_request(const request_error& problem);
    void refuse_for_room();
    [[nodiscard]] bool store_input(std::size_t n);
    void shrink_input();
    void release_input();
    [[nodiscard]] caller_wait current_wait() const;
    [[nodiscard]] std::size_t unread_response_bytes() const;
    void hold_response(exchange& answered) const;
    void drop_stalled();
    void refuse(answer_caller answer);
    void write_next();
    void write_some();
    void on_write_failed();
    void on_response_written();
    void wait_for_request();
    void linger();
    void close();
    void on_input_timeout();
    void on_stopping();

    boost::asio::ip::tcp::socket m_socket;
    std::shared_ptr<caller_context> m_context;
    lazy_deadline m_input_deadline;
    lazy_deadline m_write_deadline;
    std::array<char, 4096>
        m_read_buffer{}; ///< Target of the pending read; `m_buffer` may be consumed meanwhile.
    boost::beast::flat_buffer m_buffer;
    byte_reservation m_input_bytes; ///< Capacity of `m_buffer`.
    byte_reservation m_head_bytes;  ///< Of the request that is being read.
    byte_reservation m_written_bytes;
    std::unique_ptr<caller_request_parser> m_parser;
    std::optional<body_reader> m_body;
    caller_progress m_progress;
    std::size_t m_bytes_since_step = 0; ///< Of the body, since it last counted as progress.
    std::unique_ptr<class response_writer> m_writer;
    validated_head m_head;
    std::deque<exchange> m_exchanges; ///< In request order.
    input m_input = input::idle;
    std::size_t m_empty_line_bytes = 0; ///< Since the last request.
    bool m_reading = false;
    bool m_keep_alive = true;
    bool m_awaiting_first_request = true;
};

} // namespace cornelpier
