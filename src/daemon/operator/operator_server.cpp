#include "daemon/operator/operator_server.hpp"

#include "daemon/net/endpoint.hpp"
#include "daemon/net/read_head.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <chrono>
#include <cstdint>
#include <utility>

namespace cornelpier {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;

constexpr std::chrono::seconds session_timeout{10};
constexpr std::size_t max_sessions = 32;
constexpr std::uint32_t max_header_bytes = 8 * 1024;

/// One connection, which serves a single request.
class session : public std::enable_shared_from_this<session> {
  public:
    session(asio::ip::tcp::socket socket, const operator_server::request_handler& handler,
            std::shared_ptr<void> session_counter)
        : m_stream(std::move(socket)), m_handler(handler), m_session_counter(std::move(session_counter)) {
        m_parser.header_limit(max_header_bytes);
        m_parser.body_limit(0);
    }

    void run() {
        m_stream.expires_after(session_timeout);
        async_read_head(m_stream, m_buffer, m_parser, max_header_bytes,
                        [self = shared_from_this()](error_code ec) {
                            if (!ec) {
                                self->read_body();
                            }
                        });
    }

  private:
    void read_body() {
        http::async_read(m_stream, m_buffer, m_parser,
                         [self = shared_from_this()](error_code ec, std::size_t) {
                             if (!ec) {
                                 self->handle();
                             }
                         });
    }

    void handle() {
        const auto& request = m_parser.get();
        if (request.method() != http::verb::get && request.method() != http::verb::head) {
            write({405, "text/plain; charset=utf-8", "only GET and HEAD\n"});
            return;
        }
        const std::string target{request.target()};
        m_handler(target.substr(0, target.find('?')), [self = shared_from_this()](operator_page page) {
            asio::post(self->m_stream.get_executor(),
                       [self, page = std::move(page)]() mutable { self->write(std::move(page)); });
        });
    }

    void write(operator_page page) {
        m_response.version(11);
        m_response.result(static_cast<unsigned>(page.status));
        m_response.set(http::field::content_type, page.content_type);
        m_response.set(http::field::cache_control, "no-store");
        m_response.keep_alive(false);
        m_response.content_length(page.body.size());
        if (m_parser.get().method() != http::verb::head) {
            m_response.body() = std::move(page.body);
        }
        m_serializer.emplace(m_response);
        http::async_write(m_stream, *m_serializer, [self = shared_from_this()](error_code ec, std::size_t) {
            self->m_stream.socket().shutdown(asio::ip::tcp::socket::shutdown_both, ec);
        });
    }

    beast::tcp_stream m_stream;
    const operator_server::request_handler& m_handler;
    std::shared_ptr<void> m_session_counter; ///< Its use count limits the number of sessions.
    beast::flat_buffer m_buffer;
    http::request_parser<http::empty_body> m_parser;
    http::response<http::string_body> m_response;
    boost::optional<http::response_serializer<http::string_body>> m_serializer;
};

} // namespace

/// Accepts connections and limits the number of sessions.
class operator_server::implementation {
  public:
    implementation(asio::io_context& context, request_handler handler)
        : m_acceptor(context), m_handler(std::move(handler)) {}

    error bind(const std::string& address) { return listen_on(m_acceptor, address); }

    void accept() {
        m_acceptor.async_accept([this](error_code ec, asio::ip::tcp::socket socket) {
            if (ec == asio::error::operation_aborted) {
                return;
            }
            if (!ec && m_sessions.use_count() <= static_cast<long>(max_sessions)) {
                std::make_shared<session>(std::move(socket), m_handler, m_sessions)->run();
            }
            accept();
        });
    }

  private:
    asio::ip::tcp::acceptor m_acceptor;
    request_handler m_handler;
    std::shared_ptr<int> m_sessions = std::make_shared<int>(0);
};

operator_server::operator_server(asio::io_context& context, request_handler handler)
    : m_implementation(std::make_shared<implementation>(context, std::move(handler))) {}

operator_server::~operator_server() = default;

error operator_server::bind(const std::string& address) {
    return m_implementation->bind(address);
}

void operator_server::start() {
    m_implementation->accept();
}

} // namespace cornelpier
