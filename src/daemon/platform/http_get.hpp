#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <functional>
#include <optional>
#include <string>

namespace cornelpier {

/// Result of a GET request.
struct http_get_outcome {
    int status = 0; ///< 200 to 599; 0: no complete response with such a status.
    std::string body;
    std::optional<std::string> field; ///< Value of the requested header field; unset: absent.
    std::size_t received_bytes = 0;   ///< Of the body, also of an incomplete one.
};

/// Longest time for a body, however steadily it arrives.
inline constexpr std::chrono::seconds max_body_time{10};

/// Parameters of a GET request.
struct http_get_request {
    boost::asio::ip::tcp::endpoint server;
    std::string host;                        ///< Value of the Host header field.
    std::string path;                        ///< Request target in origin form, with the query.
    std::chrono::milliseconds timeout{5000}; ///< Of the whole exchange, or until the head of the response.
    std::size_t max_body_bytes = 0;          ///< A larger response counts as none.
    std::string field = {};                  ///< Header field of the response to pass on; empty: none.
    /// Longest pause in the body, which may take longer than `timeout` then, up to `max_body_time`; 0: it may
    /// not.
    std::chrono::milliseconds body_pause{0};
};

/// Sends a GET request on a new connection.
/// @param on_done called once, on a thread of the context.
void http_get(boost::asio::io_context& context, http_get_request request,
              std::function<void(http_get_outcome)> on_done);

} // namespace cornelpier
