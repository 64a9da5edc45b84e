#pragma once

#include <string>
#include <string_view>

namespace cornelpier::test {

/// Blocking TCP connection that sends bytes as they are, malformed ones included.
class raw_connection {
  public:
    /// Connects; each read waits at most 8 s.
    explicit raw_connection(const std::string& address);
    ~raw_connection();

    raw_connection(const raw_connection&) = delete;
    raw_connection& operator=(const raw_connection&) = delete;
    raw_connection(raw_connection&&) = delete;
    raw_connection& operator=(raw_connection&&) = delete;

    void send(std::string_view bytes) const;

    /// Reads until the text has appeared, the peer closes or the time is over.
    std::string read_until(std::string_view text);

    /// Reads as many bytes; fewer if the peer closes or the time is over.
    std::string read_bytes(std::size_t size);

    /// Reads until the peer closes.
    std::string read_all() { return read_until("\x01 never sent \x01"); }

  private:
    bool receive();

    int m_socket = -1;
    std::string m_unread;
};

} // namespace cornelpier::test
