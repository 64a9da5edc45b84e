#pragma once

#include "cornelpier/base/result.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>

namespace cornelpier {

/// HTTP response to an operator's request.
struct operator_page {
    int status = 200;
    std::string content_type = "text/plain; charset=utf-8";
    std::string body;
};

/// HTTP server for operators, on an address separate from the callers'. It accepts GET and HEAD. Connections
/// are limited in number and duration, so that an abandoned browser connection cannot exhaust the node's
/// resources.
class operator_server {
  public:
    using page_callback = std::function<void(operator_page)>;

    /// Generates the page for a path without its query. `respond` must be called once, on any thread.
    using request_handler = std::function<void(const std::string& path, page_callback respond)>;

    /// @param context run by one thread.
    /// @param handler called on that thread.
    operator_server(boost::asio::io_context& context, request_handler handler);
    ~operator_server();

    operator_server(const operator_server&) = delete;
    operator_server& operator=(const operator_server&) = delete;
    operator_server(operator_server&&) = delete;
    operator_server& operator=(operator_server&&) = delete;

    /// @param address `IP:port`.
    /// @return an error; its reason is empty on success.
    error bind(const std::string& address);

    /// Starts accepting connections.
    void start();

  private:
    class implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace cornelpier
