#pragma once

#include "cornelpier/message/message_body.hpp"

#include "daemon/link/assembly_budget.hpp"
#include "daemon/link/fragment_format.hpp"
#include "daemon/link/link_channel.hpp"
#include "daemon/link/link_manager.hpp"
#include "daemon/link/message_fragmenter.hpp"
#include "daemon/link/unsent_bytes.hpp"

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/post.hpp>
#include <websocketpp/connection.hpp>
#include <websocketpp/frame.hpp>

#include <functional>
#include <memory>
#include <utility>

namespace cornelpier {

/// Channel over a websocketpp connection. Small messages are handed to the connection at once. Fragments of
/// large ones follow only as the socket takes them, so that few bytes wait in the connection ahead of the
/// next small message.
/// @tparam ConnectionPtr shared pointer to a server or client connection.
template <typename ConnectionPtr>
class websocket_channel : public link_channel,
                          public std::enable_shared_from_this<websocket_channel<ConnectionPtr>> {
  public:
    /// @param connection may still be opening.
    /// @param clock source of the stamps of messages.
    /// @param budget names the limit on the size of a message.
    /// @param unsent counts the bytes of large messages that wait here.
    /// @param on_overflow called when a message is above that limit or would raise the unsent data above
    /// `link_queue_limit`; all unsent messages are dropped.
    websocket_channel(ConnectionPtr connection, std::shared_ptr<event_clock> clock,
                      std::shared_ptr<const assembly_budget> budget, unsent_bytes::counter unsent,
                      std::function<void()> on_overflow)
        : m_connection(std::move(connection)), m_clock(std::move(clock)), m_budget(std::move(budget)),
          m_unsent(std::move(unsent)), m_on_overflow(std::move(on_overflow)) {}

    void send(node_message message) override {
        // Encodes on the strand of the connection, to keep the work off the strand of the traffic core.
        boost::asio::post(*m_connection->get_strand(),
                          [self = this->shared_from_this(), message = std::move(message)]() mutable {
                              self->send_on_strand(std::move(message));
                          });
    }

    [[nodiscard]] std::size_t queued_bytes() const override { return m_connection->get_buffered_amount(); }

    void close() override {
        boost::asio::post(*m_connection->get_strand(), [self = this->shared_from_this()] {
            self->drop_queue();
            boost::system::error_code ec;
            self->m_connection->get_raw_socket().close(ec);
        });
    }

  private:
    void send_on_strand(node_message message) {
        if (!is_open()) {
            return;
        }
        const auto attempt = attempt_of(message);
        if (const auto* traffic = std::get_if<traffic_message>(&message);
            traffic != nullptr && std::holds_alternative<cancel_attempt>(*traffic)) {
            m_queue.abort(*attempt);
        }
        auto body = detach_body(message, max_whole_message_bytes);
        outgoing_message outgoing{
            std::visit([&](const auto& it) { return encode(it, m_clock->next()); }, message), std::move(body),
            attempt};

        const std::size_t size = outgoing.size();
        const std::size_t queued = m_connection->get_buffered_amount() + m_queue.queued_bytes();
        if (size > m_budget->limit() || queued + size > link_queue_limit(m_budget->limit())) {
            drop_queue();
            m_on_overflow();
            return;
        }
        m_queue.push(std::move(outgoing));
        transmit();
    }

    [[nodiscard]] bool is_open() const {
        return m_connection->get_state() == websocketpp::session::state::open;
    }

    void transmit() {
        transmit_small_frames();
        while (m_queue.has_fragments() && m_connection->get_buffered_amount() < max_fragment_bytes) {
            m_connection->send(*m_queue.next_fragment(), websocketpp::frame::opcode::binary);
            transmit_small_frames();
        }
        m_unsent.set(m_queue.queued_bytes());
        if (m_queue.has_fragments() && !m_waiting) {
            wait_until_writable();
        }
    }

    void drop_queue() {
        m_queue.clear();
        m_unsent.set(0);
    }

    void transmit_small_frames() {
        while (auto frame = m_queue.next_small_frame()) {
            m_connection->send(*frame, websocketpp::frame::opcode::binary);
        }
    }

    /// The connection has a write in progress that is queued before this wait, so the wait ends after the
    /// socket has taken more of it.
    void wait_until_writable() {
        m_waiting = true;
        m_connection->get_raw_socket().async_wait(
            boost::asio::socket_base::wait_write,
            boost::asio::bind_executor(*m_connection->get_strand(),
                                       [self = this->shared_from_this()](boost::system::error_code ec) {
                                           self->m_waiting = false;
                                           if (ec || !self->is_open()) {
                                               self->drop_queue();
                                               return;
                                           }
                                           self->transmit();
                                       }));
    }

    ConnectionPtr m_connection;
    std::shared_ptr<event_clock> m_clock;
    std::shared_ptr<const assembly_budget> m_budget;
    unsent_bytes m_unsent;
    std::function<void()> m_on_overflow;
    message_fragmenter m_queue; ///< Used on the strand of the connection, like the member below.
    bool m_waiting = false;
};

} // namespace cornelpier
