#include "daemon/platform/http_get.hpp"

#include "daemon/net/read_head.hpp"
#include "daemon/net/response_head.hpp"
#include "daemon/net/response_limits.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace cornelpier {

namespace {

namespace http = boost::beast::http;
using boost::system::error_code;

/// One request on one connection.
class get_operation : public std::enable_shared_from_this<get_operation> {
  public:
    get_operation(boost::asio::io_context& context, http_get_request request,
                  std::function<void(http_get_outcome)> on_done)
        : m_stream(context), m_request(std::move(request)), m_on_done(std::move(on_done)) {
        m_message.version(11);
        m_message.method(http::verb::get);
        m_message.target(m_request.path);
        m_message.set(http::field::host, m_request.host);
        m_message.set(http::field::connection, "close");
        m_parser.header_limit(max_response_header_bytes);
        m_parser.body_limit(m_request.max_body_bytes);
    }

    void start() {
        m_stream.expires_after(m_request.timeout);
        m_stream.async_connect(m_request.server, [self = shared_from_this()](error_code ec) {
            if (ec) {
                self->fail();
                return;
            }
            self->write();
        });
    }

  private:
    void write() {
        error_code ignored;
        m_stream.socket().set_option(boost::asio::ip::tcp::no_delay(true), ignored);
        http::async_write(m_stream, m_message, [self = shared_from_this()](error_code ec, std::size_t) {
            if (ec) {
                self->fail();
                return;
            }
            self->read();
        });
    }

    void read() {
        // Beast 1.74 ignores the body limit when header and body are parsed in one step.
        async_read_head(m_stream, m_buffer, m_parser, max_response_header_bytes,
                        [self = shared_from_this()](error_code ec) {
                            // A body that may never arrive is not awaited. Interim responses are not expected
                            // without Expect.
                            if (ec || kind_of_response(self->m_parser.get()) != status_kind::final) {
                                self->fail();
                                return;
                            }
                            self->read_field();
                            self->m_body_ends_by = clock::now() + max_body_time;
                            self->read_body();
                        });
    }

    /// The parser adds the fields behind a body in chunks to those of the head, so this precedes the body.
    void read_field() {
        const auto& head = m_parser.get();
        const auto it = m_request.field.empty() ? head.end() : head.find(m_request.field);
        if (it != head.end()) {
            m_field = std::string{it->value()};
        }
    }

    void read_body() {
        // The end of a body without a length cannot be distinguished from a lost connection.
        if (m_parser.need_eof()) {
            fail();
            return;
        }
        if (m_parser.is_done()) {
            finish();
            return;
        }
        if (m_request.body_pause > m_request.body_pause.zero()) {
            // A large response over a slow link would otherwise never be complete, however often it is
            // requested.
            m_stream.expires_at(std::min(clock::now() + m_request.body_pause, m_body_ends_by));
        }
        http::async_read_some(m_stream, m_buffer, m_parser,
                              [self = shared_from_this()](error_code ec, std::size_t) {
                                  if (ec) {
                                      self->fail();
                                      return;
                                  }
                                  self->read_body();
                              });
    }

    void finish() {
        auto& response = m_parser.get();
        const std::size_t n = response.body().size();
        m_on_done(
            {static_cast<int>(response.result_int()), std::move(response.body()), std::move(m_field), n});
    }

    void fail() { m_on_done({0, {}, std::nullopt, m_parser.get().body().size()}); }

    using clock = std::chrono::steady_clock;

    boost::beast::tcp_stream m_stream;
    http_get_request m_request;
    std::function<void(http_get_outcome)> m_on_done;
    std::optional<std::string> m_field;
    clock::time_point m_body_ends_by{};
    http::request<http::empty_body> m_message;
    boost::beast::flat_buffer m_buffer{max_unparsed_response_bytes};
    http::response_parser<http::string_body> m_parser;
};

} // namespace

void http_get(boost::asio::io_context& context, http_get_request request,
              std::function<void(http_get_outcome)> on_done) {
    std::make_shared<get_operation>(context, std::move(request), std::move(on_done))->start();
}

} // namespace cornelpier
