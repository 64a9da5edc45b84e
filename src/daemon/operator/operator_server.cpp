#include "daemon/operator/operator_server.hpp"

#include "daemon/net/endpoint.hpp"
#include "daemon/net/read_head.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <iterator>
#include <utility>

namespace cornelpier {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;

/// Time to send the head of a request.
constexpr std::chrono::seconds head_timeout{3};

/// Time for the page and its transmission.
constexpr std::chrono::seconds session_timeout{10};

/// Time to discard what the peer still sends. Closing with unread input would send a reset, which could
/// discard the response before the peer has read it.
constexpr std::chrono::seconds linger_timeout{1};

/// Above this number, each new connection replaces the oldest one, so that a crowd that sends nothing cannot
/// keep probes and operators out.
constexpr std::size_t max_sessions = 32;

constexpr std::uint32_t max_header_bytes = 8 * 1024;
constexpr std::size_t max_header_fields = 256;
constexpr std::chrono::milliseconds accept_retry_delay{100};
constexpr std::size_t max_buffer_bytes = std::size_t{2} * max_header_bytes;

/// One connection, which serves a single request. The body of a request is never read.
class session : public std::enable_shared_from_this<session> {
  public:
    session(asio::ip::tcp::socket socket, const operator_server::request_handler& handler)
        : m_stream(std::move(socket)), m_handler(handler) {
        m_parser.header_limit(max_header_bytes);
    }

    void run() {
        m_stream.expires_after(head_timeout);
        async_read_head(m_stream, m_buffer, m_parser, max_header_bytes,
                        [self = shared_from_this()](error_code ec) {
                            if (ec) {
                                self->close();
                                return;
                            }
                            self->handle();
                        });
    }

    /// Ends the session; pending operations fail.
    void close() {
        m_closed = true;
        m_stream.close();
    }

    [[nodiscard]] bool closed() const { return m_closed; }

  private:
    void handle() {
        m_stream.expires_after(session_timeout);
        const auto& request = m_parser.get();
        if (std::distance(request.begin(), request.end()) > static_cast<std::ptrdiff_t>(max_header_fields)) {
            write({431, "text/plain; charset=utf-8", "too many fields\n"});
            return;
        }
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
        if (m_closed) {
            return;
        }
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
            if (ec) {
                self->close();
                return;
            }
            self->m_stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ec);
            self->m_stream.expires_after(linger_timeout);
            self->discard();
        });
    }

    void discard() {
        m_stream.async_read_some(asio::buffer(m_discarded),
                                 [self = shared_from_this()](error_code ec, std::size_t) {
                                     if (ec) {
                                         self->close();
                                         return;
                                     }
                                     self->discard();
                                 });
    }

    beast::tcp_stream m_stream;
    const operator_server::request_handler& m_handler;
    bool m_closed = false;
    beast::flat_buffer m_buffer{max_buffer_bytes};
    std::array<char, 1024> m_discarded{};
    http::request_parser<http::empty_body> m_parser;
    http::response<http::string_body> m_response;
    boost::optional<http::response_serializer<http::string_body>> m_serializer;
};

} // namespace

/// Accepts connections and limits the number of sessions.
class operator_server::implementation {
  public:
    implementation(asio::io_context& context, request_handler handler)
        : m_acceptor(context), m_retry_timer(context), m_handler(std::move(handler)) {}

    error bind(const std::string& address) { return listen_on(m_acceptor, address); }

    void accept() {
        m_acceptor.async_accept([this](error_code ec, asio::ip::tcp::socket socket) {
            if (ec == asio::error::operation_aborted) {
                return;
            }
            if (ec) {
                retry();
                return;
            }
            add(std::move(socket));
            accept();
        });
    }

  private:
    /// Usually the process is out of descriptors; accepting again at once would spin.
    void retry() {
        m_retry_timer.expires_after(accept_retry_delay);
        m_retry_timer.async_wait([this](error_code ec) {
            if (!ec) {
                accept();
            }
        });
    }

    void add(asio::ip::tcp::socket socket) {
        std::erase_if(m_sessions, [](const auto& weak) {
            const auto it = weak.lock();
            return it == nullptr || it->closed();
        });
        if (m_sessions.size() >= max_sessions) {
            if (const auto oldest = m_sessions.front().lock()) {
                oldest->close();
            }
            m_sessions.pop_front();
        }
        const auto added = std::make_shared<session>(std::move(socket), m_handler);
        m_sessions.push_back(added);
        added->run();
    }

    asio::ip::tcp::acceptor m_acceptor;
    asio::steady_timer m_retry_timer;
    request_handler m_handler;
    std::deque<std::weak_ptr<session>> m_sessions; ///< Oldest first.
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
