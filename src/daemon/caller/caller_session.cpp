#include "daemon/caller/caller_session.hpp"

#include "daemon/caller/answer_writer.hpp"
#include "daemon/net/hop_by_hop.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <string_view>
#include <utility>

namespace cornelpier {

namespace {

namespace http = boost::beast::http;
using boost::system::error_code;

/// Pipelined requests wait in the buffer; above this nothing more is read until the call has its answer.
constexpr std::size_t max_buffered_bytes = std::size_t{64} * 1024;

/// Size lines, extensions and trailers of a chunked body must fit.
constexpr std::size_t max_chunk_line_bytes = std::size_t{16} * 1024;

/// Time to read the rest of a refused request, so that a reset does not destroy the answer on its way.
constexpr std::chrono::milliseconds linger_limit{1000};

/// Time that a new connection has for its first request once the node stops.
constexpr std::chrono::milliseconds stop_limit{200};

std::string_view view(const boost::beast::flat_buffer& buffer) {
    return {static_cast<const char*>(buffer.data().data()), buffer.size()};
}

/// @return true for a request line that ends in a well-formed version other than HTTP/1.1.
bool names_other_version(std::string_view head) {
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

template <typename Message>
raw_head copy_head(const Message& message) {
    raw_head head;
    head.method = std::string{message.method_string()};
    head.target = std::string{message.target()};
    for (const auto& it : message) {
        const auto name = it.name_string();
        head.fields.emplace_back(lower_case({name.data(), name.size()}), std::string{it.value()});
    }
    return head;
}

} // namespace

struct caller_session::request_parser {
    http::request_parser<http::string_body> http;
};

caller_session::caller_session(boost::asio::ip::tcp::socket socket, std::shared_ptr<caller_context> context)
    : m_socket(std::move(socket)), m_context(std::move(context)), m_deadline(m_socket.get_executor()) {}

caller_session::~caller_session() {
    m_context->remove_session(this);
}

void caller_session::start() {
    boost::asio::dispatch(m_socket.get_executor(), [self = shared_from_this()] {
        error_code ec;
        self->m_socket.non_blocking(true, ec);
        self->m_deadline.set(self->m_context->options().head_limit, self, &caller_session::on_expired);
        self->read();
    });
}

void caller_session::reject() {
    boost::asio::dispatch(m_socket.get_executor(), [self = shared_from_this()] {
        self->write(refusal_answer(503, "too many connections"), true);
    });
}

void caller_session::read() {
    if (m_reading || m_phase == phase::closed || m_buffer.size() >= max_buffered_bytes) {
        return;
    }
    m_reading = true;
    m_socket.async_read_some(
        boost::asio::buffer(m_input),
        [self = shared_from_this()](error_code ec, std::size_t n) { self->on_read(ec, n); });
}

void caller_session::on_read(error_code ec, std::size_t n) {
    m_reading = false;
    if (ec) {
        on_gone();
        return;
    }

    if (m_phase == phase::lingering) {
        read();
        return;
    }
    m_buffer.commit(boost::asio::buffer_copy(m_buffer.prepare(n), boost::asio::buffer(m_input, n)));
    if (m_phase == phase::in_call || m_phase == phase::writing) {
        read();
        return;
    }
    feed();
}

void caller_session::on_gone() {
    if (m_phase == phase::writing) {
        // The caller may have closed its half only; the write shows whether it still reads.
        m_keep_alive = false;
        return;
    }
    if (m_phase == phase::in_call && m_context->take_call(m_call) != nullptr) {
        m_context->report(call_abandoned{m_call});
    }
    close();
}

void caller_session::feed() {
    if (m_phase == phase::idle) {
        while (view(m_buffer).starts_with("\r\n")) {
            m_buffer.consume(2);
        }
        if (m_buffer.size() == 0) {
            read();
            return;
        }
        m_phase = phase::head;
        if (!m_first_request) {
            m_deadline.set(m_context->options().head_limit, shared_from_this(), &caller_session::on_expired);
        }
    }
    if (m_phase == phase::head) {
        read_head();
        return;
    }
    if (m_phase == phase::body) {
        read_body();
    }
}

void caller_session::read_head() {
    constexpr std::string_view end_of_head = "\r\n\r\n";
    const auto head = view(m_buffer).substr(0, max_head_bytes);
    const auto end = head.find(end_of_head);
    if (end != std::string_view::npos) {
        parse_head(end + end_of_head.size());
        return;
    }
    if (m_buffer.size() >= max_head_bytes) {
        fail({431, "the head is larger than 16 KiB"});
        return;
    }
    read();
}

void caller_session::parse_head(std::size_t head_size) {
    m_parser = std::make_unique<request_parser>();
    auto& parser = m_parser->http;
    parser.header_limit(max_head_bytes + 1);
    parser.body_limit(max_body_bytes);
    parser.eager(false);

    error_code ec;
    const auto n = parser.put(boost::asio::buffer(m_buffer.data(), head_size), ec);
    if (ec) {
        fail_head(ec);
        return;
    }
    if (!parser.is_header_done() || n != head_size) {
        fail({400, "malformed head"});
        return;
    }
    if (parser.get().version() != 11) {
        fail({505, "only HTTP/1.1 is supported"});
        return;
    }

    m_buffer.consume(n);
    m_keep_alive = parser.keep_alive();
    auto checked = check_request(copy_head(parser.get()));
    if (const auto* problem = std::get_if<request_problem>(&checked)) {
        fail(*problem);
        return;
    }
    accept_head(std::get<checked_head>(std::move(checked)));
}

void caller_session::fail_head(error_code ec) {
    if (ec == http::error::bad_version && names_other_version(view(m_buffer))) {
        fail({505, "only HTTP/1.1 is supported"});
        return;
    }
    if (ec == http::error::body_limit) {
        fail({413, "the body is larger than 1 MiB"});
        return;
    }
    fail({400, "malformed head: " + ec.message()});
}

void caller_session::accept_head(checked_head head) {
    m_head = std::move(head);
    m_phase = phase::body;
    m_deadline.set(m_context->options().body_limit, shared_from_this(), &caller_session::on_expired);

    if (m_head.expects_continue && !m_parser->http.is_done() && m_buffer.size() == 0) {
        // The socket does not block; if this cannot be sent, the caller sends its body after a while anyway.
        constexpr std::string_view text = "HTTP/1.1 100 Continue\r\n\r\n";
        error_code ec;
        m_socket.send(boost::asio::buffer(text.data(), text.size()), 0, ec);
    }
    read_body();
}

void caller_session::read_body() {
    auto& parser = m_parser->http;
    while (!parser.is_done()) {
        if (m_buffer.size() == 0) {
            read();
            return;
        }

        error_code ec;
        m_buffer.consume(parser.put(m_buffer.data(), ec));
        if (ec == http::error::need_more && m_buffer.size() < max_chunk_line_bytes) {
            read();
            return;
        }
        if (ec == http::error::body_limit) {
            fail({413, "the body is larger than 1 MiB"});
            return;
        }
        if (ec) {
            fail({400, "malformed body: " + ec.message()});
            return;
        }
    }
    dispatch();
}

void caller_session::dispatch() {
    m_head.request.body = make_body(std::move(m_parser->http.get().body()));
    m_parser.reset();
    m_deadline.clear();
    m_first_request = false;
    if (m_context->stopping()) {
        write(refusal_answer(503, "the node stops"), true);
        return;
    }

    m_phase = phase::in_call;
    m_call = m_context->add_call(shared_from_this());
    if (m_head.fate_token) {
        m_context->report(call_fate_asked{m_call, *m_head.fate_token});
    } else {
        m_context->report(call_arrived{m_call, m_head.service, m_head.request, m_head.key, m_head.deadline,
                                       m_head.depth, m_head.outer_retry});
    }
    read();
}

void caller_session::answer(answer_caller answer) {
    boost::asio::post(m_socket.get_executor(),
                      [self = shared_from_this(), answer = std::move(answer)]() mutable {
                          if (self->m_phase == phase::in_call && self->m_call == answer.call) {
                              self->write(std::move(answer), !self->m_keep_alive);
                          }
                      });
}

void caller_session::fail(const request_problem& problem) {
    m_context->record({event_number::bad_request,
                       {{"status", std::to_string(problem.status)}, {"reason", problem.reason}}});
    write(refusal_answer(problem.status, problem.reason), true);
}

void caller_session::write(answer_caller answer, bool close) {
    m_phase = phase::writing;
    m_writer = std::make_unique<answer_writer>(std::move(answer), m_head.request.method == "HEAD",
                                               close || m_context->stopping());
    write_some();
}

void caller_session::write_some() {
    m_deadline.set(m_context->options().write_limit, shared_from_this(), &caller_session::on_expired);
    http::async_write_some(m_socket, m_writer->serializer(),
                           [self = shared_from_this()](error_code ec, std::size_t) {
                               if (self->m_phase != phase::writing) {
                                   return;
                               }
                               if (ec) {
                                   self->close();
                                   return;
                               }
                               if (!self->m_writer->serializer().is_done()) {
                                   self->write_some();
                                   return;
                               }
                               self->on_written();
                           });
}

void caller_session::on_written() {
    const bool ends = m_writer->closes() || !m_keep_alive || m_context->stopping();
    m_writer.reset();
    m_head = {};
    if (ends) {
        linger();
        return;
    }
    m_phase = phase::idle;
    m_deadline.set(m_context->options().idle_limit, shared_from_this(), &caller_session::on_expired);
    feed();
}

void caller_session::linger() {
    m_phase = phase::lingering;
    error_code ec;
    m_socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ec);
    m_buffer.clear();
    m_deadline.set(linger_limit, shared_from_this(), &caller_session::on_expired);
    read();
}

void caller_session::close() {
    m_phase = phase::closed;
    m_deadline.stop();
    error_code ec;
    m_socket.close(ec);
}

void caller_session::on_expired() {
    if (m_phase == phase::head || (m_phase == phase::idle && m_first_request && !m_context->stopping())) {
        fail({408, "the head was not complete in time"});
        return;
    }
    if (m_phase == phase::body) {
        fail({408, "the body was not complete in time"});
        return;
    }
    close();
}

void caller_session::shut_down() {
    boost::asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->on_stopping(); });
}

void caller_session::on_stopping() {
    if (m_phase != phase::idle) {
        return;
    }
    error_code ec;
    if (m_first_request || m_socket.available(ec) > 0) {
        m_deadline.set(stop_limit, shared_from_this(), &caller_session::on_expired);
        return;
    }
    linger();
}

} // namespace cornelpier
