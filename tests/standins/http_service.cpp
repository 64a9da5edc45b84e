#include "http_service.hpp"

#include <csignal>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <utility>

namespace cornelpier::standins {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;

namespace {

/// Large enough for all tests. Beast's own default of 1 MiB is below the limit of the nodes.
constexpr std::uint64_t max_body_bytes = std::uint64_t{256} * 1024 * 1024;

class session : public http_exchange, public std::enable_shared_from_this<session> {
  public:
    session(asio::ip::tcp::socket socket, http_service::handler on_request)
        : m_socket(std::move(socket)), m_on_request(std::move(on_request)) {
        m_socket.set_option(asio::ip::tcp::no_delay{true});
    }

    void read() {
        ++m_exchange_number;
        m_request = {};
        m_responded = false;
        on_peer_closed = nullptr;
        response_fields.clear();
        m_parser.emplace();
        m_parser->body_limit(max_body_bytes);
        http::async_read(m_socket, m_buffer, *m_parser,
                         [self = shared_from_this()](error_code ec, std::size_t) {
                             if (!ec) {
                                 self->m_request = self->m_parser->release();
                                 self->handle();
                             }
                         });
    }

    [[nodiscard]] const http_request_message& request() const override { return m_request; }

    void respond(int status, std::string body, std::string content_type) override {
        if (std::exchange(m_responded, true)) {
            return;
        }
        m_response = {};
        m_response.version(11);
        m_response.result(static_cast<unsigned>(status));
        m_response.set(http::field::content_type, content_type);
        for (const auto& [name, value] : response_fields) {
            m_response.set(name, value);
        }
        m_response.body() = std::move(body);
        m_response.keep_alive(m_request.keep_alive());
        m_response.prepare_payload();
        http::async_write(m_socket, m_response, [self = shared_from_this()](error_code ec, std::size_t) {
            if (!ec && self->m_response.keep_alive()) {
                self->read();
            }
        });
    }

    void respond_truncated(std::string body) override {
        if (std::exchange(m_responded, true)) {
            return;
        }
        m_raw_response =
            "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size() + 100) + "\r\n\r\n" + body;
        asio::async_write(m_socket, asio::buffer(m_raw_response),
                          [self = shared_from_this()](error_code, std::size_t) { self->close(); });
    }

    void abort() override {
        m_responded = true;
        close();
    }

  private:
    void handle() {
        detect_peer_close();
        m_on_request(shared_from_this());
    }

    /// A readable socket without data means that the peer has closed it. The wait may complete after the end
    /// of its exchange, which the exchange number reveals.
    void detect_peer_close() {
        const auto on_readable = [self = shared_from_this(), exchange = m_exchange_number](error_code ec) {
            if (ec || self->m_responded || exchange != self->m_exchange_number) {
                return;
            }
            error_code available_error;
            if (self->m_socket.available(available_error) == 0 && self->on_peer_closed) {
                self->m_responded = true;
                std::exchange(self->on_peer_closed, nullptr)();
            }
        };
        m_socket.async_wait(asio::ip::tcp::socket::wait_read, on_readable);
    }

    void close() {
        error_code ignored;
        m_socket.close(ignored);
    }

    asio::ip::tcp::socket m_socket;
    http_service::handler m_on_request;
    beast::flat_buffer m_buffer;
    std::optional<http::request_parser<http::string_body>> m_parser;
    http_request_message m_request;
    http_response_message m_response;
    std::string m_raw_response;
    std::uint64_t m_exchange_number = 0;
    bool m_responded = false;
};

} // namespace

asio::ip::tcp::endpoint parse_endpoint(const std::string& address) {
    const auto colon = address.rfind(':');
    if (colon == std::string::npos) {
        throw std::runtime_error("address is not of the form IP:port: " + address);
    }
    const auto port = static_cast<unsigned short>(std::stoul(address.substr(colon + 1)));
    return {asio::ip::make_address(address.substr(0, colon)), port};
}

std::string query_value(const std::string& target, const std::string& name, const std::string& fallback) {
    const auto query_start = target.find('?');
    if (query_start == std::string::npos) {
        return fallback;
    }
    const std::string query = '&' + target.substr(query_start + 1);
    const auto start = query.find('&' + name + '=');
    if (start == std::string::npos) {
        return fallback;
    }
    const auto value = start + name.size() + 2;
    return query.substr(value, query.find('&', value) - value);
}

http_service::http_service(asio::io_context& context, const std::string& address, handler on_request)
    : m_acceptor(context, parse_endpoint(address)), m_on_request(std::move(on_request)) {
    accept();
}

void http_service::accept() {
    m_acceptor.async_accept([this](error_code ec, asio::ip::tcp::socket socket) {
        if (!ec) {
            std::make_shared<session>(std::move(socket), m_on_request)->read();
        }
        accept();
    });
}

void run_until_signal(asio::io_context& context) {
    asio::signal_set signals{context, SIGTERM, SIGINT};
    signals.async_wait([&context](error_code, int) { context.stop(); });
    context.run();
}

} // namespace cornelpier::standins
