#pragma once

#include "cornelpier/base/ids.hpp"
#include "cornelpier/node/traffic_actions.hpp"
#include "cornelpier/node/traffic_events.hpp"

#include "daemon/wire/wire_names.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>

namespace cornelpier {

/// Largest answer of a server, in bytes; larger ones are failures.
inline constexpr std::size_t max_response_body_bytes = std::size_t{1024} * 1024;

/// Which server a client talks to.
struct server_client_options {
    std::string address;     ///< `IP:port`.
    std::string report_path; ///< Path of the server's own report.
    service_id service;      ///< Sent as Host.
    wire_names names = {};
};

/// HTTP/1.1 client of the node's one server, with a pool of connections. All functions may be called on any
/// thread; they run on a strand of the client.
class server_client {
  public:
    /// Receives `server_answered`, `server_failed`, `server_report` and `server_report_failed`.
    using handler = std::function<void(traffic_event)>;

    /// @param io_context runs the connections.
    /// @param options address checked with `parse_address`.
    /// @param on_event callable on any thread.
    server_client(boost::asio::io_context& io_context, server_client_options options, handler on_event);
    ~server_client();

    server_client(const server_client&) = delete;
    server_client& operator=(const server_client&) = delete;
    server_client(server_client&&) = delete;
    server_client& operator=(server_client&&) = delete;

    /// Hands a request to the server. One event follows, unless the run is cancelled.
    void start(start_run action);

    /// Gives up on a run: its connection is closed and no event follows.
    void cancel(run_id run);

    /// Reads the server's report. One event follows.
    /// @param path of the report; empty: the one of the options.
    void read_report(const std::string& path = {});

    /// Closes all connections; no event follows.
    void stop();

  private:
    class implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace cornelpier
