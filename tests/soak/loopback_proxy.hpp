#pragma once

#include <boost/asio.hpp>
#include <boost/asio/spawn.hpp>

#include <chrono>
#include <list>
#include <memory>
#include <string>

namespace cornelpier::soak {

/// Fault that a proxy applies to the forwarded data.
struct link_fault {
    std::chrono::milliseconds delay{0}; ///< Delay of each chunk, in both directions.
    bool block_to_server = false;       ///< Holds back data to the server, and new connections.
    bool block_from_server = false;     ///< Holds back data from the server.
};

/// TCP proxy on loopback that injects faults on request. Must be used on the thread of its io_context.
class loopback_proxy {
  public:
    /// @param client `IP:port` to listen on.
    /// @param upstream `IP:port` to connect to.
    loopback_proxy(boost::asio::io_context& context, const std::string& client, const std::string& upstream);

    /// Replaces the active fault; a default-constructed one ends it. Data that was held back is then
    /// forwarded.
    void set_fault(const link_fault& fault) { m_fault = fault; }

    /// Resets all open connections (RST).
    void reset_all();

    /// Refuses new connections, as if nothing listened, or accepts them again.
    void set_refusing(bool value);

    /// Stops forwarding on all open connections without closing them; new connections work.
    void stall_all();

  private:
    struct session;

    void accept(boost::asio::yield_context yield);
    void connect(const std::shared_ptr<session>& it, boost::asio::yield_context yield);
    void forward(const std::shared_ptr<session>& it, bool to_server, boost::asio::yield_context yield);
    void apply_fault(const std::shared_ptr<session>& it, bool to_server, boost::asio::yield_context yield);

    boost::asio::io_context& m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::ip::tcp::endpoint m_upstream;
    link_fault m_fault;
    bool m_refusing = false;
    std::list<std::weak_ptr<session>> m_sessions;
};

} // namespace cornelpier::soak
