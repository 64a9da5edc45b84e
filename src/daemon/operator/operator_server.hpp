#pragma once

#include "cornelpier/base/result.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>

namespace cornelpier {

/// A page for operators.
struct operator_page {
    int status = 200;
    std::string content_type = "text/plain; charset=utf-8";
    std::string body;
};

/// Answers GET requests of operators on an address apart from the callers' one. Connections are limited in
/// number and time, so that a forgotten browser cannot hold the node.
class operator_server {
  public:
    using page_callback = std::function<void(operator_page)>;

    /// Makes the page for a path without its query; calls back once, on any thread.
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
    /// @return an error with an empty reason if it worked.
    error bind(const std::string& address);

    /// Begins to accept connections.
    void start();

  private:
    class implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace cornelpier
