#pragma once

#include "cornelpier/message/codec.hpp"

#include <cstddef>

namespace cornelpier {

/// An outgoing or accepted WebSocket connection. Its functions may be called on any thread.
class link_channel {
  public:
    link_channel() = default;
    virtual ~link_channel() = default;
    link_channel(const link_channel&) = delete;
    link_channel& operator=(const link_channel&) = delete;
    link_channel(link_channel&&) = delete;
    link_channel& operator=(link_channel&&) = delete;

    /// Sends a message. Messages of one sender keep their order, except that small ones overtake large ones
    /// of other attempts. A cancelled attempt's request is not sent on.
    virtual void send(node_message message) = 0;

    /// @return bytes that are queued and not yet passed to the kernel.
    [[nodiscard]] virtual std::size_t queued_bytes() const = 0;

    /// Closes the socket without a closing handshake.
    virtual void close() = 0;
};

} // namespace cornelpier
