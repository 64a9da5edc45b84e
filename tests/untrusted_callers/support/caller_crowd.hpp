#pragma once

#include <chrono>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace cornelpier::test {

/// How the connections of a crowd send and read.
struct crowd_behaviour {
    std::size_t piece_bytes = std::size_t{64} * 1024; ///< Largest number of bytes of one send.
    std::chrono::milliseconds between_pieces{0};
    std::size_t max_pieces = 0; ///< For each connection; 0: until everything is sent.
    bool reads = false;         ///< Reads and discards what arrives.
};

/// Connections that send the same bytes and then stay open. They are served by the calling thread without
/// blocking. The destructor closes them.
class caller_crowd {
  public:
    /// Opens the connections.
    /// @param address `IP:port`.
    caller_crowd(const std::string& address, std::size_t connections);
    ~caller_crowd();

    caller_crowd(const caller_crowd&) = delete;
    caller_crowd& operator=(const caller_crowd&) = delete;
    caller_crowd(caller_crowd&&) = delete;
    caller_crowd& operator=(caller_crowd&&) = delete;

    /// Sends the bytes on each connection until everything is sent, the peer closes the connection, or no
    /// connection takes a byte for two seconds.
    void send(std::string_view bytes, const crowd_behaviour& behaviour = {});

    /// @return the number of connections that the peer has not closed.
    [[nodiscard]] std::size_t open_connections() const;

  private:
    struct connection {
        int socket = -1;
        std::size_t sent = 0;
        std::size_t pieces = 0;
    };

    static bool send_piece(connection& it, std::string_view bytes, const crowd_behaviour& behaviour);
    static void discard_input(connection& it);
    static void close_connection(connection& it);

    std::vector<connection> m_connections;
};

} // namespace cornelpier::test
