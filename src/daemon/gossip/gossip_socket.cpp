#include "daemon/gossip/gossip_socket.hpp"

#include "cornelpier/message/codec.hpp"

#include "daemon/net/endpoint.hpp"

#include <boost/asio/buffer.hpp>

#include <array>
#include <utility>

namespace cornelpier {

using boost::asio::ip::udp;
using boost::system::error_code;

namespace {

bool is_datagram_message(const control_message& message) {
    return std::holds_alternative<gossip>(message) || std::holds_alternative<source_update>(message) ||
           std::holds_alternative<source_query>(message);
}

} // namespace

class gossip_socket::implementation {
  public:
    implementation(boost::asio::io_context& context, handler on_message, event_sink sink)
        : m_on_message(std::move(on_message)), m_sink(std::move(sink)), m_socket(context) {}

    error bind(const std::string& text) {
        const auto address = parse_address(text);
        if (const auto* problem = std::get_if<error>(&address)) {
            return *problem;
        }
        const auto endpoint = std::get<socket_address>(address).udp();
        error_code ec;
        m_socket.open(endpoint.protocol(), ec);
        if (!ec) {
            m_socket.bind(endpoint, ec);
        }
        if (!ec) {
            m_socket.non_blocking(true, ec);
        }
        return ec ? error{text, "cannot receive datagrams: " + ec.message()} : error{text, ""};
    }

    void receive() {
        m_socket.async_receive_from(boost::asio::buffer(m_buffer), m_sender,
                                    [this](error_code ec, std::size_t n) { on_datagram(ec, n); });
    }

    void send(const std::string& text, const control_message& message) {
        const auto address = parse_address(text);
        const std::string bytes = encode(message);
        if (!has_value(address) || bytes.size() > max_datagram_bytes) {
            return;
        }
        // The datagram is dropped if the send buffer is full; the next gossip round makes up for the loss.
        error_code ec;
        m_socket.send_to(boost::asio::buffer(bytes), std::get<socket_address>(address).udp(), 0, ec);
    }

    void stop() {
        error_code ec;
        m_socket.close(ec);
    }

  private:
    void on_datagram(error_code ec, std::size_t n) {
        if (!m_socket.is_open()) {
            return;
        }
        // Errors such as "connection refused" refer to an earlier datagram to a node that no longer runs.
        if (!ec) {
            deliver({m_buffer.data(), n});
        }
        receive();
    }

    void deliver(std::string_view bytes) {
        auto outcome = decode(bytes);
        if (auto* message = std::get_if<node_message>(&outcome)) {
            auto* control = std::get_if<control_message>(message);
            if (control != nullptr && is_datagram_message(*control)) {
                m_on_message(std::move(*control), format_address(m_sender));
                return;
            }
        }
        m_sink({event_number::gossip_malformed, {{"from", format_address(m_sender)}}});
    }

    handler m_on_message;
    event_sink m_sink;
    udp::socket m_socket;
    udp::endpoint m_sender;
    std::array<char, 2048> m_buffer{};
};

gossip_socket::gossip_socket(boost::asio::io_context& context, handler on_message, event_sink sink)
    : m_implementation(std::make_unique<implementation>(context, std::move(on_message), std::move(sink))) {}

gossip_socket::~gossip_socket() = default;

error gossip_socket::bind(const std::string& address) {
    return m_implementation->bind(address);
}

void gossip_socket::start() {
    m_implementation->receive();
}

void gossip_socket::send(const std::string& address, const control_message& message) {
    m_implementation->send(address, message);
}

void gossip_socket::stop() {
    m_implementation->stop();
}

} // namespace cornelpier
