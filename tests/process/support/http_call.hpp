#pragma once

#include <map>
#include <string>

namespace cornelpier::test {

/// HTTP response as received by a caller.
struct http_response {
    int status = 0;                            ///< 0 if no complete response arrived.
    std::map<std::string, std::string> fields; ///< Header fields; names in lower case.
    std::string body;

    /// @return the `Cornelpier-Verdict`, or an empty string.
    [[nodiscard]] std::string verdict() const {
        const auto it = fields.find("cornelpier-verdict");
        return it == fields.end() ? "" : it->second;
    }
};

/// Keep-alive connection of a caller.
class caller_connection {
  public:
    /// Throws `std::runtime_error` if the connection is refused.
    explicit caller_connection(const std::string& address);
    ~caller_connection();

    caller_connection(const caller_connection&) = delete;
    caller_connection& operator=(const caller_connection&) = delete;
    caller_connection(caller_connection&&) = delete;
    caller_connection& operator=(caller_connection&&) = delete;

    /// Sends the bytes and reads one response.
    http_response send(const std::string& bytes);

  private:
    class implementation;
    implementation* m_impl;
};

/// @return the text of a request without a body.
std::string get_request(const std::string& path, const std::string& host, const std::string& fields = {});

/// @return the text of a request with a body.
std::string post_request(const std::string& path, const std::string& host, const std::string& body,
                         const std::string& fields = {});

/// Sends one request on a new connection. The status is 0 if no complete response arrived.
http_response call(const std::string& address, const std::string& bytes);

} // namespace cornelpier::test
