#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <memory>
#include <vector>

namespace cornelpier {

/// Pool of idle connections to a server. Not thread-safe.
class connection_pool {
  public:
    using clock = std::chrono::steady_clock;
    using socket_ptr = std::unique_ptr<boost::asio::ip::tcp::socket>;

    /// A connection that completed a response this recently counts as fresh: the server has not had time to
    /// close it as idle.
    static constexpr std::chrono::milliseconds max_fresh_age{100};

    /// When the pool is full, the connection that has been idle longest is closed.
    static constexpr std::size_t max_idle_connections = 16;

    /// Time after which an idle connection is not reused.
    static constexpr std::chrono::seconds max_idle_time{30};

    /// @param fresh_only return only a connection that completed a response within `max_fresh_age`.
    /// @return the most recently used connection, or nullptr. Connections closed by the server are discarded.
    socket_ptr acquire(bool fresh_only);

    /// Adds a connection that has just completed a response.
    /// @param idle_time time after which it is not reused.
    void release(socket_ptr socket, clock::duration idle_time = max_idle_time);

    /// Closes all connections.
    void clear() { m_idle.clear(); }

    /// @return number of idle connections.
    [[nodiscard]] std::size_t size() const { return m_idle.size(); }

  private:
    struct idle_connection {
        socket_ptr socket;
        clock::time_point idle_since;
        clock::time_point expires_at;
    };

    std::vector<idle_connection> m_idle;
};

/// Connection that completed a response and may carry another request.
struct reusable_connection {
    connection_pool::socket_ptr socket; ///< Null: the connection cannot be reused.
    connection_pool::clock::duration idle_time = connection_pool::max_idle_time;
};

} // namespace cornelpier
