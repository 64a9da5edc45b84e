#pragma once

#include "cornelpier/base/result.hpp"
#include "cornelpier/message/control_messages.hpp"

#include "daemon/log/event_log.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>

namespace cornelpier {

/// Largest gossip datagram, in bytes. Fits in one packet on any link.
inline constexpr std::size_t max_datagram_bytes = 1400;

/// UDP socket for gossip, with one CBOR message per datagram. Must be used on the thread that runs the
/// context.
class gossip_socket {
  public:
    /// Receives a control message and the `IP:port` of its sender.
    using handler = std::function<void(control_message, std::string)>;

    /// @param context runs the socket; must be run by one thread.
    /// @param on_message receives the messages.
    /// @param sink receives log events.
    gossip_socket(boost::asio::io_context& context, handler on_message, event_sink sink);
    ~gossip_socket();

    gossip_socket(const gossip_socket&) = delete;
    gossip_socket& operator=(const gossip_socket&) = delete;
    gossip_socket(gossip_socket&&) = delete;
    gossip_socket& operator=(gossip_socket&&) = delete;

    /// Binds the address without receiving yet.
    /// @param address `IP:port`.
    /// @return an error with an empty reason on success.
    error bind(const std::string& address);

    /// Starts receiving.
    void start();

    /// Sends a message. Drops it if it exceeds `max_datagram_bytes` or the address is invalid. Delivery is
    /// not guaranteed.
    void send(const std::string& address, const control_message& message);

    /// Closes the socket.
    void stop();

  private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace cornelpier
