#pragma once

#include "cornelpier/base/ids.hpp"
#include "cornelpier/base/result.hpp"
#include "cornelpier/message/control_messages.hpp"
#include "cornelpier/message/traffic_messages.hpp"

#include "daemon/log/event_log.hpp"

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace cornelpier {

/// Largest message on a node link, in bytes.
inline constexpr std::size_t max_link_message_bytes = std::size_t{2} * 1024 * 1024;

/// Largest amount of data that may wait to be sent on a link, in bytes. A peer that reads too slowly loses
/// the link.
inline constexpr std::size_t max_link_queue_bytes = std::size_t{8} * 1024 * 1024;

/// Where a link manager reports to. Callable on any thread; events of one link come in order.
struct link_handlers {
    std::function<void(link_id)> on_opened;
    std::function<void(link_id)> on_closed; ///< Also for links that could not be opened.
    std::function<void(link_id, traffic_message)> on_traffic_message;
    std::function<void(control_message)> on_control_message;
    event_sink record;
    std::shared_ptr<event_clock> clock = std::make_shared<event_clock>(); ///< Stamps messages.
};

/// WebSocket links between nodes: one CBOR message per binary frame. All functions may be called on any
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
    /// @return an error with an empty reason if it worked.
    error bind(const std::string& address);

    /// Begins to accept links.
    void start();

    /// Opens a link. Ends in `opened` or `closed`; the peer must answer within 500 ms.
    void open(link_id link, const std::string& address);

    /// Closes a link at once, without a closing handshake. No `closed` follows.
    void close(link_id link);

    /// Sends a message; dropped if the link is gone.
    void send(link_id link, traffic_message message);

    /// Sends a control message on a link of the manager's own, which closes when it is no longer used.
    void send_control(const std::string& address, control_message message);

    /// @return links that are open or opening, in both directions.
    [[nodiscard]] std::size_t link_count() const;

    /// Closes everything.
    void stop();

  private:
    class implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace cornelpier
