#include "daemon/caller/caller_session.hpp"

#include "daemon/caller/head_rules.hpp"
#include "daemon/caller/response_writer.hpp"
#include "daemon/net/folded_line.hpp"
#include "daemon/net/hop_by_hop.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <string_view>
#include <utility>

namespace cornelpier {

namespace {

namespace http = boost::beast::http;
using boost::system::error_code;

/// Pipelined requests are buffered while a call is in progress. At this size, reading stops until the call
/// has been answered.
constexpr std::size_t max_buffered_bytes = std::size_t{64} * 1024;

/// Limit on empty lines that are ignored before a request. RFC 9112, section 2.2 asks servers to ignore at
/// least one.
constexpr std::size_t max_empty_line_bytes = 64;

/// Time to read and discard input after the last response. Closing with unread input would send a reset,
/// which could discard the response before the caller has read it.
constexpr std::chrono::milliseconds linger_timeout{1000};

/// Time to receive a request on a connection that would otherwise be closed: it is new or has unread input
/// when the node stops, or has unread input when its idle timeout expires.
constexpr std::chrono::milliseconds stopping_request_timeout{200};

std::string_view view(const boost::beast::flat_buffer& buffer) {
    return {static_cast<const char*>(buffer.data().data()), buffer.size()};
}

/// @return true for a request line that ends in a well-formed version other than HTTP/1.1.
bool is_other_http_version(std::string_view head) {
    const auto line = head.substr(0, head.find("\r\n"));
    const auto blank = line.rfind(' ');
    if (blank == std::string_view::npos) {
        return false;
    }
    const auto version = line.substr(blank + 1);
    const auto is_digit = [](char c) { return c >= '0' && c <= '9'; };
    return version.size() == 8 && version.starts_with("HTTP/") && is_digit(version[5]) && version[6] == '.' &&
           is_digit(version[7]) && version != "HTTP/1.1";
}

bool is_lookup_method(std::string_view method) {
    return method == "GET" || method == "HEAD";
}

request_error body_too_large(std::size_t limit) {
    return {413, "the body is larger than " + std::to_string(limit) + " bytes"};
}

template <typename Message>
request_head copy_head(const Message& message) {
    request_head head;
    head.method = std::string{message.method_string()};
    head.target = std::string{message.target()};
    for (const auto& it : message) {
        const auto name = it.name_string();
        head.fields.emplace_back(to_lower_case({name.data(), name.size()}), std::string{it.value()});
    }
    return head;
}

} // namespace

caller_session::caller_session(boost::asio::ip::tcp::socket socket, std::shared_ptr<caller_context> context)
    : m_socket(std::move(socket)), m_context(std::move(context)), m_input_deadline(m_socket.get_executor()),
      m_write_deadline(m_socket.get_executor()), m_input_bytes(m_context->reservation(held_bytes::heads)),
      m_head_bytes(m_context->reservation(held_bytes::heads)),
      m_written_bytes(m_context->reservation(held_bytes::unread_responses)) {}

caller_session::~caller_session() {
    m_context->remove_session(this);
}

void caller_session::start() {
    boost::asio::dispatch(m_socket.get_executor(), [self = shared_from_this()] {
        error_code ec;
        self->m_socket.non_blocking(true, ec);
        self->m_input_deadline.set(self->m_context->options().head_timeout, self,
                                   &caller_session::on_input_timeout);
        self->read();
    });
}

void caller_session::reject_connection() {
    boost::asio::dispatch(m_socket.get_executor(), [self = shared_from_this()] {
        self->refuse(make_refusal(503, "too many connections"));
    });
}

void caller_session::read() {
    m_progress.set_wait(current_wait());
    if (m_reading || m_input == input::closed || m_buffer.size() >= max_buffered_bytes) {
        return;
    }
    m_reading = true;
    m_socket.async_read_some(
        boost::asio::buffer(m_read_buffer),
        [self = shared_from_this()](error_code ec, std::size_t n) { self->on_read(ec, n); });
}

void caller_session::on_read(error_code ec, std::size_t n) {
    m_reading = false;
    if (m_input == input::closed) {
        return;
    }
    if (ec) {
        on_disconnected();
        return;
    }

    if (m_input == input::lingering || m_input == input::ended) {
        read();
        return;
    }
    if (!store_input(n)) {
        refuse_for_room();
        return;
    }
    if (m_input == input::blocked) {
        read();
        return;
    }
    process_input();
}

void caller_session::on_disconnected() {
    if (m_writer != nullptr && m_exchanges.empty()) {
        // The caller may have closed only its sending side; the write fails if it no longer reads.
        m_keep_alive = false;
        m_input = input::ended;
        return;
    }
    abandon_calls();
}

void caller_session::abandon_calls() {
    for (const auto& it : m_exchanges) {
        if (!it.answer && m_context->take_call(it.call) != nullptr) {
            m_context->report(call_abandoned{it.call});
        }
    }
    close();
}

void caller_session::process_input() {
    if (m_input == input::idle) {
        begin_request();
    }
    if (m_input == input::head) {
        read_head();
        return;
    }
    if (m_input == input::body) {
        read_body();
    }
}

void caller_session::begin_request() {
    while (view(m_buffer).starts_with("\r\n")) {
        m_buffer.consume(2);
        m_empty_line_bytes += 2;
    }
    if (m_empty_line_bytes > max_empty_line_bytes) {
        reject_request({400, "empty lines in place of a request"});
        return;
    }
    if (m_buffer.size() == 0 || view(m_buffer) == "\r") {
        read();
        return;
    }
    m_empty_line_bytes = 0;
    m_input = input::head;
    m_progress.advance();
    // The timeout of the first request runs from the start of the connection, so it is set again only if
    // stopping has shortened it.
    if (!m_awaiting_first_request || m_context->stopping()) {
        m_input_deadline.set(m_context->options().head_timeout, shared_from_this(),
                             &caller_session::on_input_timeout);
    }
}

void caller_session::read_head() {
    constexpr std::string_view end_of_head = "\r\n\r\n";
    const std::size_t limit = m_context->max_head_bytes();
    const auto head = view(m_buffer).substr(0, limit);
    const auto end = head.find(end_of_head);
    if (end != std::string_view::npos) {
        parse_head(end + end_of_head.size());
        return;
    }
    if (m_buffer.size() >= limit) {
        reject_request({431, "the head is too large"});
        return;
    }
    read();
}

void caller_session::parse_head(std::size_t head_size) {
    if (has_folded_line(view(m_buffer).substr(0, head_size))) {
        reject_request({400, "a line of the head is folded"});
        return;
    }
    const auto fields = count_fields(view(m_buffer).substr(0, head_size));
    if (fields > max_header_fields) {
        reject_request({431, "the head has too many fields"});
        return;
    }
    if (!m_head_bytes.resize(parsed_head_bytes(head_size, fields))) {
        refuse_for_room();
        return;
    }
    m_parser = std::make_unique<caller_request_parser>();
    auto& parser = *m_parser;
    parser.header_limit(static_cast<std::uint32_t>(m_context->max_head_bytes() + 1));
    parser.body_limit(m_context->max_body_bytes());
    parser.eager(false);

    error_code ec;
    const auto n = parser.put(boost::asio::buffer(m_buffer.data(), head_size), ec);
    if (ec) {
        reject_head(ec);
        return;
    }
    if (!parser.is_header_done() || n != head_size) {
        reject_request({400, "malformed head"});
        return;
    }
    if (parser.get().version() != 11) {
        reject_request({505, "only HTTP/1.1 is supported"});
        return;
    }

    m_buffer.consume(n);
    m_keep_alive = parser.keep_alive();
    const auto& options = m_context->options();
    auto validated = validate_request(copy_head(parser.get()), options.names, options.own_service);
    if (const auto* problem = std::get_if<request_error>(&validated)) {
        reject_request(*problem);
        return;
    }
    accept_head(std::get<validated_head>(std::move(validated)));
}

void caller_session::reject_head(error_code ec) {
    if (ec == http::error::bad_version && is_other_http_version(view(m_buffer))) {
        reject_request({505, "only HTTP/1.1 is supported"});
        return;
    }
    if (ec == http::error::body_limit) {
        reject_request(body_too_large(m_context->max_body_bytes()));
        return;
    }
    reject_request({400, "malformed head: " + ec.message()});
}

void caller_session::accept_head(validated_head head) {
    m_head = std::move(head);
    m_input = input::body;
    if (has_large_body() && answer_from_head()) {
        return;
    }
    const auto length = m_parser->content_length_remaining();
    m_body.emplace(m_context->options().budget,
                   length ? static_cast<std::size_t>(*length) : m_context->max_body_bytes());
    m_bytes_since_step = 0;
    m_progress.advance();
    m_input_deadline.set(m_context->options().body_timeout, shared_from_this(),
                         &caller_session::on_input_timeout);

    if (m_head.expects_continue && !m_parser->is_done() && m_buffer.size() == 0) {
        // The socket is non-blocking and an error is ignored: without the interim response, the caller sends
        // its body after a delay.
        constexpr std::string_view text = "HTTP/1.1 100 Continue\r\n\r\n";
        error_code ec;
        m_socket.send(boost::asio::buffer(text.data(), text.size()), 0, ec);
    }
    read_body();
}

/// @return false if the body is small or has arrived with the head, so that reading it costs nothing.
bool caller_session::has_large_body() const {
    const auto length = m_parser->content_length_remaining();
    return m_parser->chunked() || (length && *length > byte_budget::small_bytes);
}

/// Sends the response that is known without the body.
bool caller_session::answer_from_head() {
    if (m_context->stopping()) {
        refuse(make_refusal(503, "the node stops"));
        return true;
    }
    if (m_context->options().refuse_from_head) {
        if (auto known = refuse_from_head(m_head, m_context->view())) {
            refuse(*std::move(known));
            return true;
        }
    }
    const auto length = m_parser->content_length_remaining();
    const auto& budget = m_context->options().budget;
    if (length && budget != nullptr && !budget->has_room_for(*length)) {
        refuse_for_room();
        return true;
    }
    return false;
}

void caller_session::read_body() {
    std::string reason;
    const std::size_t available = m_buffer.size();
    const auto progress = m_body->read(*m_parser, m_buffer, reason);
    switch (progress) {
    case body_progress::complete:
        on_request_complete();
        return;
    case body_progress::incomplete:
        on_body_bytes(available - m_buffer.size());
        read();
        return;
    case body_progress::too_large:
        reject_request(body_too_large(m_context->max_body_bytes()));
        return;
    case body_progress::no_room:
        refuse_for_room();
        return;
    case body_progress::malformed:
        reject_request({400, "malformed body: " + reason});
        return;
    }
}

/// Extends the time limit of the body only after a considerable number of bytes, which sets a least rate.
void caller_session::on_body_bytes(std::size_t n) {
    m_bytes_since_step += n;
    if (m_bytes_since_step < caller_progress::step_bytes) {
        return;
    }
    m_bytes_since_step = 0;
    m_progress.advance();
    m_input_deadline.set(m_context->options().body_timeout, shared_from_this(),
                         &caller_session::on_input_timeout);
}

void caller_session::on_request_complete() {
    m_head.request.body = m_body->take(*m_parser);
    m_body.reset();
    m_parser.reset();
    m_input_deadline.clear();
    m_awaiting_first_request = false;
    if (m_context->stopping()) {
        refuse(make_refusal(503, "the node stops"));
        return;
    }
    if (must_wait_for_earlier_calls()) {
        m_input = input::blocked;
        read();
        return;
    }
    dispatch_call();
}

/// Only lookups run concurrently: a caller may depend on the order of all other requests.
bool caller_session::must_wait_for_earlier_calls() const {
    const bool can_run_concurrently =
        is_lookup_method(m_head.request.method) && std::ranges::all_of(m_exchanges, &exchange::is_lookup);
    return !m_exchanges.empty() && (!can_run_concurrently || m_exchanges.size() >= max_pipelined_calls ||
                                    unread_response_bytes() >= max_unread_response_bytes);
}

void caller_session::dispatch_call() {
    const call_id call = m_context->add_call(shared_from_this());
    const auto& method = m_head.request.method;
    m_exchanges.push_back({call, is_lookup_method(method), method == "HEAD", std::nullopt,
                           std::exchange(m_head_bytes, m_context->reservation(held_bytes::heads)),
                           m_context->reservation(held_bytes::unread_responses)});

    if (m_head.fate_token) {
        m_context->report(call_fate_requested{call, *m_head.fate_token});
    } else {
        m_context->report(call_arrived{call, m_head.service, std::move(m_head.request), m_head.key,
                                       m_head.deadline, m_head.depth, m_head.outer_retry, m_head.host});
    }
    m_head = {};
    m_input = m_keep_alive ? input::idle : input::ended;
    if (m_input == input::idle) {
        process_input();
    }
    read();
}

void caller_session::answer(answer_caller answer) {
    boost::asio::post(m_socket.get_executor(),
                      [self = shared_from_this(), answer = std::move(answer)]() mutable {
                          auto& exchanges = self->m_exchanges;
                          const auto it = std::ranges::find(exchanges, answer.call, &exchange::call);
                          if (it != exchanges.end() && self->m_input != input::closed) {
                              it->answer = std::move(answer);
                              self->hold_response(*it);
                              self->write_next();
                          }
                      });
}

void caller_session::reject_request(const request_error& problem) {
    m_context->log_event({event_number::bad_request,
                          {{"status", std::to_string(problem.status)}, {"reason", problem.reason}}});
    refuse(make_refusal(problem.status, problem.reason));
}

/// Refuses the request that is being read. The response follows those of earlier requests and closes the
/// connection.
void caller_session::refuse(answer_caller answer) {
    m_input = input::ended;
    m_keep_alive = false;
    m_input_deadline.clear();
    const bool head_request = m_head.request.method == "HEAD";
    release_input();
    m_exchanges.push_back({call_id{}, false, head_request, std::move(answer), {}, {}});
    write_next();
    read();
}

/// The writer stays until the object is destroyed: a write that is being cancelled still refers to it.
void caller_session::on_write_failed() {
    abandon_calls();
}

/// A caller treats requests after a response with `Connection: close` as unprocessed and may send them again.
/// Therefore only the response to the last accepted request closes the connection.
void caller_session::write_next() {
    if (m_writer != nullptr || m_exchanges.empty() || !m_exchanges.front().answer) {
        return;
    }
    exchange next = std::move(m_exchanges.front());
    m_exchanges.pop_front();

    answer_caller answer = *std::move(next.answer);
    const bool wants_close = answer.close || m_context->stopping();
    if (wants_close) {
        m_keep_alive = false;
        m_input = input::ended;
        m_input_deadline.clear();
    }
    const bool is_last = m_exchanges.empty() && m_input == input::ended;
    answer.close = false;
    m_written_bytes = std::move(next.response);
    m_progress.advance();
    m_writer = std::make_unique<response_writer>(std::move(answer), next.head_request, is_last,
                                                 m_context->options().names);
    write_some();
}

void caller_session::write_some() {
    m_progress.set_wait(caller_wait::action);
    m_write_deadline.set(m_context->options().write_timeout, shared_from_this(),
                         &caller_session::on_write_failed);
    http::async_write_some(m_socket, m_writer->serializer(),
                           [self = shared_from_this()](error_code ec, std::size_t) {
                               if (self->m_input == input::closed) {
                                   return;
                               }
                               if (ec) {
                                   self->on_write_failed();
                                   return;
                               }
                               self->m_progress.advance();
                               if (!self->m_writer->serializer().is_done()) {
                                   self->write_some();
                                   return;
                               }
                               self->on_response_written();
                           });
}

void caller_session::on_response_written() {
    const bool ends = m_writer->closes_connection();
    m_writer.reset();
    m_written_bytes.release();
    m_write_deadline.clear();
    m_progress.set_wait(current_wait());
    if (ends) {
        linger();
        return;
    }
    if (m_input == input::blocked && m_exchanges.empty()) {
        dispatch_call();
        return;
    }
    if (!m_exchanges.empty()) {
        write_next();
        return;
    }
    if (m_input == input::ended) {
        linger();
        return;
    }
    wait_for_request();
}

void caller_session::wait_for_request() {
    if (m_input != input::idle) {
        return;
    }
    shrink_input();
    m_progress.advance();
    m_input_deadline.set(m_context->idle_timeout(), shared_from_this(), &caller_session::on_input_timeout);
    if (m_context->stopping()) {
        on_stopping();
        return;
    }
    process_input();
}

void caller_session::linger() {
    m_input = input::lingering;
    error_code ec;
    m_socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ec);
    release_input();
    m_progress.advance();
    m_input_deadline.set(linger_timeout, shared_from_this(), &caller_session::on_input_timeout);
    read();
}

void caller_session::close() {
    m_input = input::closed;
    m_input_deadline.stop();
    m_write_deadline.stop();
    m_exchanges.clear();
    m_written_bytes.release();
    release_input();
    error_code ec;
    m_socket.close(ec);
}

void caller_session::on_input_timeout() {
    if (m_input == input::head ||
        (m_input == input::idle && m_awaiting_first_request && !m_context->stopping())) {
        reject_request({408, "the head was not complete in time"});
        return;
    }
    if (m_input == input::body) {
        reject_request({408, "the body was not complete in time"});
        return;
    }
    if (!m_exchanges.empty() || m_writer != nullptr) {
        return;
    }
    // If the process was not scheduled for a while, the timer may expire although a request has arrived.
    error_code ec;
    if (m_input == input::idle && m_socket.available(ec) > 0) {
        m_input_deadline.set(stopping_request_timeout, shared_from_this(), &caller_session::on_input_timeout);
        return;
    }
    close();
}

void caller_session::shut_down() {
    boost::asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->on_stopping(); });
}

void caller_session::refuse_unfinished_request() {
    boost::asio::post(m_socket.get_executor(), [self = shared_from_this()] {
        if (self->m_input == input::head || self->m_input == input::body || self->m_input == input::blocked) {
            self->refuse(make_refusal(503, "the node stops"));
        }
    });
}

void caller_session::on_stopping() {
    if (m_input != input::idle || !m_exchanges.empty() || m_writer != nullptr) {
        return;
    }
    error_code ec;
    if (m_awaiting_first_request || m_socket.available(ec) > 0) {
        m_input_deadline.set(stopping_request_timeout, shared_from_this(), &caller_session::on_input_timeout);
        return;
    }
    linger();
}

} // namespace cornelpier
