#pragma once

#include "daemon/link/link_channel.hpp"
#include "daemon/link/link_manager.hpp"

#include <boost/asio/post.hpp>
#include <websocketpp/frame.hpp>

#include <functional>
#include <utility>

namespace cornelpier {

/// Channel over a websocketpp connection.
/// @tparam ConnectionPtr shared pointer to a server or client connection.
template <typename ConnectionPtr>
class websocket_channel : public link_channel {
  public:
    /// @param connection may still be opening.
    /// @param clock source of the stamps of messages.
    /// @param on_overflow called when a message would raise the unsent data above `max_link_queue_bytes`; the
    /// message is dropped.
    websocket_channel(ConnectionPtr connection, std::shared_ptr<event_clock> clock,
                      std::function<void()> on_overflow)
        : m_connection(std::move(connection)), m_clock(std::move(clock)),
          m_on_overflow(std::move(on_overflow)) {}

    void send(node_message message) override {
        // Encodes on the strand of the connection, to keep the work off the strand of the traffic core.
        boost::asio::post(*m_connection->get_strand(), [connection = m_connection, clock = m_clock,
                                                        overflow = m_on_overflow,
                                                        message = std::move(message)] {
            const std::string bytes =
                std::visit([&](const auto& it) { return encode(it, clock->next()); }, message);
            if (connection->get_buffered_amount() + bytes.size() > max_link_queue_bytes) {
                overflow();
                return;
            }
            connection->send(bytes, websocketpp::frame::opcode::binary);
        });
    }

    [[nodiscard]] std::size_t queued_bytes() const override { return m_connection->get_buffered_amount(); }

    void close() override {
        boost::asio::post(*m_connection->get_strand(), [connection = m_connection] {
            boost::system::error_code ec;
            connection->get_raw_socket().close(ec);
        });
    }

  private:
    ConnectionPtr m_connection;
    std::shared_ptr<event_clock> m_clock;
    std::function<void()> m_on_overflow;
};

} // namespace cornelpier
