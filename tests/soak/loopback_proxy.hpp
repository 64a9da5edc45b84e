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
    bool cut_there = false;             ///< Holds what goes to the server, and new connections.
    bool cut_back = false;              ///< Holds what comes from the server.
};

/// Passes TCP connections on to another address of this machine and does harm to them on request. Used on the
/// thread of its context.
class loopback_proxy {
  public:
    /// @param front `IP:port` to listen on.
    /// @param back `IP:port` to connect to.
    loopback_proxy(boost::asio::io_context& context, const std::string& front, const std::string& back);

    /// Replaces the fault in force; a default one heals. Bytes that were held are passed on then.
    void set_fault(const link_fault& fault) { m_fault = fault; }

    /// Resets all connections.
    void reset_all();

    /// Lets the present connections fall silent for good; new ones work.
    void mute_all();

  private:
    struct session;

    void accept(boost::asio::yield_context yield);
    void connect(const std::shared_ptr<session>& it, boost::asio::yield_context yield);
    void pump(const std::shared_ptr<session>& it, bool there, boost::asio::yield_context yield);
    void pass_faults(const std::shared_ptr<session>& it, bool there, boost::asio::yield_context yield);

    boost::asio::io_context& m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::ip::tcp::endpoint m_back;
    link_fault m_fault;
    std::list<std::weak_ptr<session>> m_sessions;
};

} // namespace cornelpier::soak
