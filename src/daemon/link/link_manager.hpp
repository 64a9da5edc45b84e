#pragma once

#include "cornelpier/base/ids.hpp"
#include "cornelpier/base/result.hpp"
#include "cornelpier/message/control_messages.hpp"
#include "cornelpier/message/traffic_messages.hpp"

#include "daemon/log/event_log.hpp"

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace cornelpier {

/// Largest message on a node link if callers' bodies are limited to 1 MiB, in bytes.
inline constexpr std::size_t max_link_message_bytes = std::size_t{2} * 1024 * 1024;

/// Largest amount of unsent data on a link, in bytes, with messages up to `max_link_message_bytes`. The link
/// to a peer that reads too slowly is closed when it exceeds this limit.
inline constexpr std::size_t max_link_queue_bytes = std::size_t{8} * 1024 * 1024;

/// Part of a message that is not its body, in bytes: the fields of a request (16 KiB) or response (32 KiB)
/// and the message's own fields.
inline constexpr std::size_t max_message_head_bytes = std::size_t{64} * 1024;

/// Largest frame, in bytes: a whole message or a fragment with its header.
inline constexpr std::size_t max_link_frame_bytes = std::size_t{64} * 1024;

/// @param body_limit largest body of a request or response.
/// @return largest message on a node link, in bytes.
constexpr std::size_t link_message_limit(std::size_t body_limit) {
    return std::max(max_link_message_bytes, body_limit + max_message_head_bytes);
}

/// @param message_limit see `link_message_limit`.
/// @return largest amount of unsent data on a link, in bytes. Beside the largest message, there is as much
/// room for others whatever the limit.
constexpr std::size_t link_queue_limit(std::size_t message_limit) {
    return max_link_queue_bytes + (message_limit - max_link_message_bytes);
}

/// Callbacks of a link manager. They are called on any thread; events of one link arrive in order.
struct link_handlers {
    std::function<void(link_id)> on_opened;
    std::function<void(link_id)> on_closed; ///< Also called for links that could not be opened.
    std::function<void(link_id, traffic_message)> on_traffic_message;
    std::function<void(control_message)> on_control_message;
    event_sink record;
    /// Part of a large traffic message arrived. Called at most once per `link_receiver::progress_interval`.
    std::function<void(link_id)> on_progress = [](link_id /*link*/) {};
    std::shared_ptr<event_clock> clock = std::make_shared<event_clock>(); ///< Stamps the messages.
};

/// WebSocket links between nodes. A binary frame holds a CBOR message or a fragment of a large one; messages
/// overtake large ones of other attempts. All functions may be called on any
/// thread.
class link_manager {
  public:
    /// @param context runs the links.
    /// @param handlers must stay valid until the threads have ended.
    link_manager(boost::asio::io_context& context, link_handlers handlers);
    ~link_manager();

    link_manager(const link_manager&) = delete;
    link_manager& operator=(const link_manager&) = delete;
    link_manager(link_manager&&) = delete;
    link_manager& operator=(link_manager&&) = delete;

    /// Binds the address without accepting links yet.
    /// @param address `IP:port`.
    /// @return an error with an empty reason on success.
    error bind(const std::string& address);

    /// Starts accepting links.
    void start();

    /// Opens a link. Results in `on_opened` or `on_closed`; the peer must answer within 500 ms.
    void open(link_id link, const std::string& address);

    /// Closes a link immediately, without a closing handshake. `on_closed` is not called.
    void close(link_id link);

    /// Sends a message. It is dropped if the link is closed.
    void send(link_id link, traffic_message message);

    /// Sends a control message on a separate link, which is opened on demand and closed when idle.
    void send_control(const std::string& address, control_message message);

    /// @return number of links that are open or being opened, in both directions.
    [[nodiscard]] std::size_t link_count() const;

    /// Sets the largest body of requests and responses, from which the limits on messages follow.
    void set_body_limit(std::size_t bytes);

    /// @return bytes of incomplete large messages that the links hold.
    [[nodiscard]] std::size_t bytes_in_assembly() const;

    /// @return bytes of large messages that wait to be sent, on all links.
    [[nodiscard]] std::size_t bytes_unsent() const;

    /// @return bytes that are queued on all links and not yet passed to the kernel.
    [[nodiscard]] std::size_t queued_bytes() const;

    /// Stops accepting and closes all links. Must not be called while another thread runs the context, whose
    /// handlers use the listening socket.
    void stop();

  private:
    class implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace cornelpier
