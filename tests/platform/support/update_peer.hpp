#pragma once

#include "daemon/gossip/gossip_socket.hpp"
#include "daemon/link/link_manager.hpp"

#include <boost/asio/io_context.hpp>

#include <mutex>
#include <string>
#include <vector>

namespace cornelpier::test {

/// Stands in for another node: records the updates it receives and sends those that the test makes up.
class update_peer {
  public:
    update_peer(boost::asio::io_context& context, const std::string& address);

    /// Sends an update on a link. Called on the thread of the context.
    void send(const std::string& node, const source_update& update);

    /// Closes the sockets. Called on the thread of the context.
    void stop();

    /// @return the updates received so far. Thread-safe.
    [[nodiscard]] std::vector<source_update> received() const;

  private:
    void record(const control_message& message);

    mutable std::mutex m_mutex;
    std::vector<source_update> m_received;
    link_manager m_links;
    gossip_socket m_socket;
};

} // namespace cornelpier::test
