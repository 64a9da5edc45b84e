#pragma once

#include <boost/asio.hpp>
#include <boost/asio/spawn.hpp>

#include <chrono>
#include <list>
#include <memory>
#include <string>

namespace cornelpier::soak {

/// What a proxy does to the bytes that pass.
struct link_fault {
    std::chrono::milliseconds delay{0}; ///< Of each piece, in each direction.
    bool block_to_server = false;       ///< Holds what goes to the server, and new connections.
    bool block_from_server = false;     ///< Holds what comes from the server.
};

/// Passes TCP connections on to another address of this machine and does harm to them on request. Used on the
/// thread of its context.
class loopback_proxy {
  public:
    /// @param front `IP:port` to listen on.
    /// @param back `IP:port` to connect to.
    loopback_proxy(boost::asio::io_context& context, const std::string& client, const std::string& upstream);

    /// Replaces the fault in force; a default one heals. Bytes that were held are passed on then.
    void set_fault(const link_fault& fault) { m_fault = fault; }

    /// Resets all connections.
    void reset_all();

    /// Lets the present connections fall silent for good; new ones work.
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
    std::list<std::weak_ptr<session>> m_sessions;
};

} // namespace cornelpier::soak
