#pragma once

#include "daemon/link/link_channel.hpp"
#include "daemon/link/link_manager.hpp"

#include <boost/asio/post.hpp>
#include <websocketpp/frame.hpp>

#include <functional>
#include <utility>

namespace cornelpier {

/// Channel over a connection of websocketpp.
/// @tparam ConnectionPtr shared pointer to an accepting or opening connection.
template <typename ConnectionPtr>
class websocket_channel : public link_channel {
  public:
    /// @param connection not necessarily open yet.
    /// @param clock stamps the messages.
    /// @param on_overflow called when more waits to be sent than `max_link_queue_bytes`.
    websocket_channel(ConnectionPtr connection, std::shared_ptr<event_clock> clock,
                      std::function<void()> on_overflow)
        : m_connection(std::move(connection)), m_clock(std::move(clock)),
          m_on_overflow(std::move(on_overflow)) {}

    void send(node_message message) override {
        // Encoding happens on the strand of the connection, which keeps it off the decision strand.
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
