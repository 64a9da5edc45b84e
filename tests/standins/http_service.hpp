#pragma once

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace cornelpier::standins {

using http_request_message = boost::beast::http::request<boost::beast::http::string_body>;
using http_response_message = boost::beast::http::response<boost::beast::http::string_body>;

/// Request of a connection and the interface to answer it.
class http_exchange {
  public:
    virtual ~http_exchange() = default;

    [[nodiscard]] virtual const http_request_message& request() const = 0;

    /// Sends the response. Later calls for the same request are ignored.
    virtual void respond(int status, std::string body, std::string content_type = "application/json") = 0;

    /// Sends a Content-Length above the size of the body, then closes the connection.
    virtual void respond_truncated(std::string body) = 0;

    /// Closes the connection without a response.
    virtual void abort() = 0;

    /// Header fields that `respond` adds.
    std::vector<std::pair<std::string, std::string>> response_fields;

    /// Called once if the peer closes the connection before the response.
    std::function<void()> on_peer_closed;
};

/// Single-threaded HTTP/1.1 server of the stand-ins with keep-alive and few limits.
class http_service {
  public:
    using handler = std::function<void(std::shared_ptr<http_exchange>)>;

    /// @param address `IP:port` to listen on; throws if the address is invalid or binding fails.
    http_service(boost::asio::io_context& context, const std::string& address, handler on_request);

  private:
    void accept();

    boost::asio::ip::tcp::acceptor m_acceptor;
    handler m_on_request;
};

/// Parses `IP:port`; throws if the address is invalid.
boost::asio::ip::tcp::endpoint parse_endpoint(const std::string& address);

/// @return the value of a query parameter of a request target, or `fallback` if it is missing.
std::string query_value(const std::string& target, const std::string& name, const std::string& fallback = "");

/// Runs the context until SIGTERM or SIGINT.
void run_until_signal(boost::asio::io_context& context);

} // namespace cornelpier::standins
