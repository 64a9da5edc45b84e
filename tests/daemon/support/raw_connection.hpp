#pragma once

#include <string>
#include <string_view>

namespace cornelpier::test {

/// Blocking TCP connection that sends bytes unmodified, so that tests can send malformed messages.
class raw_connection {
  public:
    /// Connects. Each receive and send waits at most 8 s.
    explicit raw_connection(const std::string& address);
    ~raw_connection();

    raw_connection(const raw_connection&) = delete;
    raw_connection& operator=(const raw_connection&) = delete;
    raw_connection(raw_connection&&) = delete;
    raw_connection& operator=(raw_connection&&) = delete;

    void send(std::string_view bytes) const;

    /// Reads until the text appears, the peer closes the connection or a receive times out.
    /// @return the bytes up to the end of the text; everything received if it did not appear.
    std::string read_until(std::string_view text);

    /// Reads `size` bytes; fewer if the peer closes the connection or a receive times out.
    std::string read_bytes(std::size_t size);

    /// Reads until the peer closes the connection or a receive times out.
    std::string read_all() { return read_until("\x01 never sent \x01"); }

  private:
    bool receive();

    int m_socket = -1;
    std::string m_unread;
};

} // namespace cornelpier::test
