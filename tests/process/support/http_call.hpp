#pragma once

#include <map>
#include <string>

namespace cornelpier::test {

/// Answer as a caller sees it.
struct http_response {
    int status = 0;                            ///< 0: no complete answer came.
    std::map<std::string, std::string> fields; ///< Names in lower case.
    std::string body;

    /// @return the `Cornelpier-Verdict`, or an empty text.
    [[nodiscard]] std::string verdict() const {
        const auto it = fields.find("cornelpier-verdict");
        return it == fields.end() ? "" : it->second;
    }
};

/// Keep-alive connection of a caller.
class caller_connection {
  public:
    /// Throws `std::runtime_error` if nobody listens.
    explicit caller_connection(const std::string& address);
    ~caller_connection();

    caller_connection(const caller_connection&) = delete;
    caller_connection& operator=(const caller_connection&) = delete;
    caller_connection(caller_connection&&) = delete;
    caller_connection& operator=(caller_connection&&) = delete;

    /// Sends the bytes and reads one answer.
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

/// Sends one request on a connection of its own. Status 0 if no complete answer came.
http_response call(const std::string& address, const std::string& bytes);

} // namespace cornelpier::test
