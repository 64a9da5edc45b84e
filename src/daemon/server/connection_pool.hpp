#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <memory>
#include <vector>

namespace cornelpier {

/// Connections that wait for their next request. Not thread-safe.
class connection_pool {
  public:
    using clock = std::chrono::steady_clock;
    using socket_ptr = std::unique_ptr<boost::asio::ip::tcp::socket>;

    /// A connection that completed an answer this recently is as good as a new one: the server has not had
    /// time to close it for idleness.
    static constexpr std::chrono::milliseconds max_fresh_age{100};

    /// Idle connections that are kept.
    static constexpr std::size_t max_idle_connections = 16;

    /// Time after which an idle connection is not used again.
    static constexpr std::chrono::seconds max_idle_time{30};

    /// @param fresh_only take only a connection that completed an answer within `max_fresh_age`.
    /// @return the connection used last, or nullptr. Connections that the server closed are dropped.
    socket_ptr acquire(bool fresh_only);

    /// Keeps a connection that has just completed an answer.
    /// @param idle_time time after which it is not used again.
    void release(socket_ptr socket, clock::duration idle_time = max_idle_time);

    /// Closes everything.
    void clear() { m_idle.clear(); }

    /// @return how many connections wait.
    [[nodiscard]] std::size_t size() const { return m_idle.size(); }

  private:
    struct idle_connection {
        socket_ptr socket;
        clock::time_point idle_since;
        clock::time_point expires_at;
    };

    std::vector<idle_connection> m_idle;
};

/// Connection that completed an answer and may carry another request.
struct reusable_connection {
    connection_pool::socket_ptr socket; ///< Null: the connection cannot be used again.
    connection_pool::clock::duration idle_time = connection_pool::max_idle_time;
};

} // namespace cornelpier
