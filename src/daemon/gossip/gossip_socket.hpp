#pragma once

#include "cornelpier/base/result.hpp"
#include "cornelpier/message/control_messages.hpp"

#include "daemon/log/event_log.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>

namespace cornelpier {

/// Largest gossip datagram, in bytes; fits one packet on any link.
inline constexpr std::size_t max_datagram_bytes = 1400;

/// Gossip datagrams, one CBOR message each. Used on the thread that runs the context.
class gossip_socket {
  public:
    /// Receives gossip messages with the `IP:port` of the sender.
    using handler = std::function<void(control_message, std::string)>;

    /// @param context runs the socket; one thread.
    /// @param on_message see `handler`.
    /// @param sink receives log events.
    gossip_socket(boost::asio::io_context& context, handler on_message, event_sink sink);
    ~gossip_socket();

    gossip_socket(const gossip_socket&) = delete;
    gossip_socket& operator=(const gossip_socket&) = delete;
    gossip_socket(gossip_socket&&) = delete;
    gossip_socket& operator=(gossip_socket&&) = delete;

    /// Binds the address without receiving yet.
    /// @param address `IP:port`.
    /// @return an error with an empty reason if it worked.
    error bind(const std::string& address);

    /// Begins to receive.
    void start();

    /// Sends a datagram if it is small enough. It may be lost.
    void send(const std::string& address, const control_message& message);

    /// Ends receiving.
    void stop();

  private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace cornelpier
