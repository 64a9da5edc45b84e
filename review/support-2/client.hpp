#pragma once

#include <chrono>
#include <functional>
#include <optional>
#include <string>

namespace review {

using steady = std::chrono::steady_clock;

/// What a client got for one request.
struct client_answer {
    int status = 0; ///< 0: no complete answer.
    std::string head;
    std::string body;
};

/// Blocking HTTP/1.1 connection of a client stand-in.
class client_connection {
  public:
    /// @param address `IP:port`; the connection attempt may take 1 s.
    explicit client_connection(const std::string& address);
    ~client_connection();

    client_connection(const client_connection&) = delete;
    client_connection& operator=(const client_connection&) = delete;

    [[nodiscard]] bool connected() const { return m_socket >= 0; }

    /// @return false if the connection was lost or the time is over.
    bool send(const std::string& bytes, steady::time_point until);

    /// Sends bytes of one value.
    bool send_filler(std::size_t count, steady::time_point until);

    /// Reads one answer with a Content-Length.
    client_answer read_answer(steady::time_point until);

    void close();

  private:
    bool wait(short events, steady::time_point until) const;
    bool read_some(steady::time_point until);

    int m_socket = -1;
    std::string m_input;
};

/// @return a field of an answer's head, or nothing.
std::optional<std::string> find_header(const std::string& head, const std::string& name);

/// @return a new id of a client attempt.
std::string new_attempt_id();

/// @param fields further lines, each with its line end.
std::string make_request(const std::string& method, const std::string& path, const std::string& id,
                         std::chrono::milliseconds deadline, const std::string& fields = "");

/// Sends one request on a new connection and reads the answer.
client_answer call(const std::string& address, const std::string& request, steady::time_point until);

} // namespace review
