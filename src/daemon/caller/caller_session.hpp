#pragma once

#include "cornelpier/node/traffic_actions.hpp"

#include "daemon/caller/caller_context.hpp"
#include "daemon/caller/request_validation.hpp"
#include "daemon/net/lazy_deadline.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <array>
#include <deque>
#include <memory>
#include <optional>

namespace cornelpier {

/// Largest body of a caller's request, in bytes.
inline constexpr std::size_t max_body_bytes = std::size_t{1024} * 1024;

/// Calls of one connection that may be in progress at a time.
inline constexpr std::size_t max_pipelined_calls = 16;

/// One caller's connection. Lookups that a caller sends ahead are handled side by side, anything else one at
/// a time; answers go out in the order of the requests. Everything runs on the strand of the socket; a read
/// is pending at all times, so that a caller that goes away is noticed.
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
    void reject_connection();

    /// Sends the answer to a call in progress when its turn comes. Callable on any thread.
    void answer(answer_caller answer);

    /// Ends the connection as soon as no request is in progress. Callable on any thread.
    void shut_down();

    /// Refuses a request that is not complete yet or has not been handed over: the process ends.
    void refuse_unfinished_request();

  private:
    /// Where the input stands. `blocked`: the next request waits until the calls in progress have ended;
    /// `ended`: no further request is taken.
    enum class input : std::uint8_t { idle, head, body, blocked, ended, lingering, closed };
    struct request_parser;

    /// A request that was taken and whose answer has not been written.
    struct exchange {
        call_id call;
        bool is_lookup = false;
        bool head_request = false;
        std::optional<answer_caller> answer;
    };

    void read();
    void on_read(boost::system::error_code ec, std::size_t n);
    void on_disconnected();
    void process_input();
    void begin_request();
    void read_head();
    void parse_head(std::size_t head_size);
    void reject_head(boost::system::error_code ec);
    void accept_head(validated_head head);
    void read_body();
    void on_request_complete();
    void dispatch_call();
    [[nodiscard]] bool must_wait_for_earlier_calls() const;

    void reject_request(const request_error& problem);
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
        m_read_buffer{}; ///< The pending read writes here, so that the buffer can be consumed.
    boost::beast::flat_buffer m_buffer;
    std::unique_ptr<request_parser> m_parser;
    std::unique_ptr<class response_writer> m_writer;
    validated_head m_head;
    std::deque<exchange> m_exchanges; ///< In the order of the requests.
    input m_input = input::idle;
    std::size_t m_empty_line_bytes = 0; ///< Since the last request.
    bool m_reading = false;
    bool m_keep_alive = true;
    bool m_awaiting_first_request = true;
};

} // namespace cornelpier
