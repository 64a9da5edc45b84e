#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <functional>
#include <string>

namespace cornelpier {

/// Outcome of a GET request.
struct http_get_outcome {
    int status = 0; ///< 0: no complete answer.
    std::string body;
};

/// What to read.
struct http_get_request {
    boost::asio::ip::tcp::endpoint server;
    std::string host; ///< Value of the Host field.
    std::string path; ///< Origin form with query.
    std::chrono::milliseconds timeout{5000};
    std::size_t max_body_bytes = 0; ///< In bytes; larger answers count as none.
};

/// Reads a resource on a connection of its own.
/// @param on_done called once on a thread of the context.
void http_get(boost::asio::io_context& context, http_get_request request,
              std::function<void(http_get_outcome)> on_done);

} // namespace cornelpier
