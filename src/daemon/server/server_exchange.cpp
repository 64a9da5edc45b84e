#include "daemon/server/server_exchange.hpp"

#include "daemon/net/connection_state.hpp"
#include "daemon/net/hop_by_hop.hpp"
#include "daemon/net/incremental_body.hpp"
#include "daemon/net/read_head.hpp"
#include "daemon/net/response_head.hpp"
#include "daemon/net/response_limits.hpp"
#include "daemon/server/server_client.hpp"

#include <boost/asio/bind_executor.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <charconv>
#include <optional>
#include <string_view>
#include <utility>

namespace cornelpier {

namespace {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

/// Interim responses and responses to earlier requests that are skipped before the matching one. The limit is
/// needed because a faulty server may repeat them endlessly.
constexpr std::uint32_t max_skipped_responses = 16;

constexpr int first_error_status = 400;

/// Interval of checks whether the server has received the request; there is no event for it.
constexpr std::chrono::milliseconds close_check_interval{5};

/// Subtracted from the server's idle timeout to cover the transit time of the response and the next request.
constexpr std::chrono::milliseconds keep_alive_margin{500};

http::request<http::span_body<const char>> make_message(const http_request& request) {
    http::request<http::span_body<const char>> message;
    message.version(11);
    message.method_string(request.method);
    message.target(request.path);
    for (const auto& [name, value] : request.fields) {
        message.insert(name, value);
    }
    message.body() = boost::beast::span<const char>{request.body->data(), request.body->size()};
    return message;
}

/// @param keep_alive value of the Keep-Alive field.
/// @return time from now during which the connection can be reused.
connection_pool::clock::duration announced_idle_time(std::string_view keep_alive) {
    constexpr std::string_view prefix = "timeout=";
    const auto start = keep_alive.find(prefix);
    if (start == std::string_view::npos) {
        return connection_pool::max_idle_time;
    }
    const auto digits = keep_alive.substr(start + prefix.size());
    std::int64_t seconds = 0;
    if (std::from_chars(digits.data(), digits.data() + digits.size(), seconds).ec != std::errc{}) {
        return connection_pool::max_idle_time;
    }
    const std::chrono::milliseconds announced = std::chrono::seconds{seconds};
    return std::clamp<connection_pool::clock::duration>(
        announced - keep_alive_margin, std::chrono::milliseconds{0}, connection_pool::max_idle_time);
}

/// @return the response without its body.
template <typename Message>
http_response copy_head(const Message& message, bool keep_length) {
    http_response result;
    result.status = static_cast<int>(message.result_int());
    for (const auto& it : message) {
        const auto name = it.name_string();
        result.fields.emplace_back(to_lower_case({name.data(), name.size()}), std::string{it.value()});
    }
    remove_hop_by_hop(result.fields);
    if (!keep_length) {
        remove_field(result.fields, "content-length");
    }
    return result;
}

/// @return why reading a response failed: bytes that are no response say nothing about the connection.
server_failure failure_of(error_code ec) {
    const bool has_ended = ec == http::error::end_of_stream || ec == http::error::partial_message ||
                           ec.category() == boost::system::system_category() || ec == boost::asio::error::eof;
    return has_ended ? server_failure::connection_lost : server_failure::response_incomplete;
}

} // namespace

struct server_exchange::http_state {
    explicit http_state(const http_request& request) : message(make_message(request)), serializer(message) {}

    http::request<http::span_body<const char>> message;
    http::request_serializer<http::span_body<const char>> serializer;
    boost::beast::flat_buffer buffer{max_unparsed_response_bytes};
    std::optional<http::response_parser<incremental_body>> parser;
    http_response head; ///< Copied before the parser adds the fields behind a body in chunks.
};

server_exchange::server_exchange(const executor& strand, http_request request, callback on_done,
                                 response_rules rules)
    : m_strand(strand), m_request(std::move(request)), m_rules(std::move(rules)),
      m_on_done(std::move(on_done)), m_deadline(strand), m_http(std::make_unique<http_state>(m_request)) {}

server_exchange::~server_exchange() = default;

void server_exchange::start(connection_pool::socket_ptr socket, std::chrono::microseconds timeout) {
    m_socket = std::move(socket);
    m_reused = true;
    write(timeout);
}

void server_exchange::start(const tcp::endpoint& server, std::chrono::microseconds timeout) {
    m_socket = std::make_unique<tcp::socket>(m_strand);
    const auto deadline = clock::now() + timeout;
    m_deadline.set(std::min<clock::duration>(connect_timeout, timeout), shared_from_this(),
                   &server_exchange::on_timeout);
    m_socket->async_connect(
        server, [self = shared_from_this(), deadline](error_code ec) { self->on_connected(ec, deadline); });
}

void server_exchange::on_connected(error_code ec, clock::time_point deadline) {
    if (!m_on_done) {
        return;
    }
    if (!ec) {
        m_socket->set_option(tcp::no_delay(true), ec);
    }
    if (!ec) {
        m_socket->non_blocking(true, ec);
    }
    if (ec) {
        fail(server_failure::connect_failed);
        return;
    }
    write(deadline - clock::now());
}

void server_exchange::write(clock::duration remaining) {
    m_write = write_state::in_progress;
    m_expires_at = clock::now() + remaining;
    m_deadline.set(remaining, shared_from_this(), &server_exchange::on_timeout);
    http::async_write(*m_socket, m_http->serializer,
                      [self = shared_from_this()](error_code ec, std::size_t) { self->on_written(ec); });
    read();
}

/// An error does not end the exchange: a server may respond before it has read a long body.
void server_exchange::on_written(error_code ec) {
    m_write = ec ? write_state::failed : write_state::completed;
    if (m_on_done && m_response_ended_by_close) {
        confirm_close();
    }
}

void server_exchange::read() {
    m_http->parser.emplace();
    m_http->parser->header_limit(max_response_header_bytes);
    m_http->parser->body_limit(m_rules.max_body_bytes);
    m_http->parser->skip(m_request.method == "HEAD");
    // Beast 1.74 ignores the body limit when header and body are parsed in one step.
    async_read_head(*m_socket, m_http->buffer, *m_http->parser, max_response_header_bytes,
                    [self = shared_from_this()](error_code ec) { self->on_header_read(ec); });
}

void server_exchange::on_header_read(error_code ec) {
    if (!m_on_done) {
        return;
    }
    if (ec) {
        fail(failure_of(ec));
        return;
    }
    // A body that may never arrive is not awaited.
    if (kind_of_response(m_http->parser->get()) == status_kind::invalid) {
        fail(server_failure::response_incomplete);
        return;
    }
    m_http->head = copy_head(m_http->parser->get(), m_request.method == "HEAD");
    http::async_read(
        *m_socket, m_http->buffer, *m_http->parser,
        [self = shared_from_this()](error_code failure, std::size_t) { self->on_response_read(failure); });
}

void server_exchange::on_response_read(error_code ec) {
    if (!m_on_done) {
        return;
    }
    if (ec) {
        fail(failure_of(ec));
        return;
    }
    if (m_http->parser->need_eof()) {
        on_response_ended_by_close();
        return;
    }
    if (kind_of_response(m_http->parser->get()) == status_kind::interim) {
        skip_response();
        return;
    }

    process_response();
}

void server_exchange::on_response_ended_by_close() {
    if (!m_rules.allow_unframed) {
        fail(server_failure::response_incomplete);
        return;
    }
    m_response_ended_by_close = true;
    m_expires_at = std::min(m_expires_at, clock::now() + reset_timeout);
    confirm_close();
}

/// A socket reports a reset once, to the write if that comes first; the read then sees only an end. So the
/// response is complete only if the server has received the whole request and has not reset the connection.
void server_exchange::confirm_close() {
    if (m_write == write_state::failed || is_connection_reset(*m_socket)) {
        fail(server_failure::connection_lost);
        return;
    }
    const bool received = m_write == write_state::completed && unacknowledged_bytes(*m_socket) == 0;
    if (received || clock::now() >= m_expires_at) {
        process_response();
        return;
    }
    m_deadline.set(close_check_interval, shared_from_this(), &server_exchange::on_timeout);
}

void server_exchange::process_response() {
    auto& parser = *m_http->parser;
    const bool framed = !parser.need_eof();
    // A repeated refusal without an id would be taken for the response to the next request, and would claim
    // that it did not run.
    const bool repeatable =
        m_rules.request_id_field.empty() && parser.get().result_int() >= first_error_status;
    const bool clean = parser.keep_alive() && m_http->buffer.size() == 0 &&
                       m_write == write_state::completed && !m_unmatched_response_seen && !repeatable;
    const auto idle_time = announced_idle_time(std::string{parser.get()[http::field::keep_alive]});
    http_response response = std::move(m_http->head);
    response.body = make_body(std::move(parser.get().body()));
    if (is_unmatched(response) && framed) {
        m_unmatched_response_seen = true;
        skip_response();
        return;
    }
    if (is_unmatched(response) || !is_authentic(response)) {
        fail(server_failure::response_incomplete);
        return;
    }
    reusable_connection connection;
    if (framed && clean) {
        connection = {std::move(m_socket), idle_time};
    }
    finish(std::move(response), std::move(connection));
}

void server_exchange::skip_response() {
    if (++m_skipped_responses > max_skipped_responses) {
        fail(server_failure::response_incomplete);
        return;
    }
    read();
}

/// The response to an earlier request may arrive twice or late. An error response without an id is accepted
/// only on a new connection, where it cannot belong to an earlier request.
bool server_exchange::is_unmatched(const http_response& response) const {
    if (m_rules.request_id_field.empty()) {
        return false;
    }
    const auto* sent_id = find_field(m_request.fields, m_rules.request_id_field);
    const auto* echoed_id = find_field(response.fields, m_rules.request_id_field);
    if (echoed_id == nullptr) {
        return sent_id != nullptr && (m_reused || response.status < first_error_status);
    }
    if (sent_id == nullptr) {
        return true;
    }
    return *echoed_id != *sent_id;
}

/// A successful response is accepted as the server's only with the server's seal and without a content
/// encoding, which the request is not expected to allow.
bool server_exchange::is_authentic(const http_response& response) const {
    if (m_rules.seal_field.empty() || response.status >= first_error_status) {
        return true;
    }
    return find_field(response.fields, m_rules.seal_field) != nullptr &&
           find_field(response.fields, "content-encoding") == nullptr;
}

void server_exchange::on_timeout() {
    if (m_on_done && m_response_ended_by_close) {
        confirm_close();
    } else if (m_on_done) {
        fail(m_write == write_state::not_started ? server_failure::connect_failed
                                                 : server_failure::response_incomplete);
    }
}

void server_exchange::fail(server_failure kind) {
    finish(kind, {});
}

void server_exchange::finish(outcome result, reusable_connection connection) {
    const auto on_done = std::exchange(m_on_done, nullptr);
    cancel();
    on_done(std::move(result), std::move(connection));
}

void server_exchange::cancel() {
    m_on_done = nullptr;
    m_deadline.stop();
    if (m_socket) {
        error_code ec;
        m_socket->close(ec);
    }
}

} // namespace cornelpier
