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

/// Address of the server, its report and the header fields it uses.
struct server_client_options {
    std::string address;     ///< `IP:port`.
    std::string report_path; ///< Path of the server's health report.
    service_id service;      ///< Sent as Host.
    wire_names names = {};
};

/// HTTP/1.1 client for the node's server, with a connection pool. All functions may be called on any thread
/// and run on the client's strand.
class server_client {
  public:
    /// Receives `server_answered`, `server_failed`, `server_report`, `server_report_failed` and
    /// `server_checked`.
    using handler = std::function<void(traffic_event)>;

    /// @param io_context runs the connections.
    /// @param options the address must be valid for `parse_address`.
    /// @param on_event callable on any thread.
    server_client(boost::asio::io_context& io_context, server_client_options options, handler on_event);
    ~server_client();

    server_client(const server_client&) = delete;
    server_client& operator=(const server_client&) = delete;
    server_client(server_client&&) = delete;
    server_client& operator=(server_client&&) = delete;

    /// Sends a request to the server. Exactly one event follows, unless the run is cancelled or the client
    /// stopped.
    void start(start_run action);

    /// Cancels a run: its connection is closed and no event follows.
    void cancel(run_id run);

    /// Requests the server's health report. Exactly one event follows.
    /// @param path of the report; empty: `server_client_options::report_path`.
    void read_report(const std::string& path = {});

    /// Opens a connection to learn whether the server listens. Exactly one `server_checked` follows.
    void check();

    /// Sets the largest response body of later runs. It is never below `default_body_limit_bytes`; a larger
    /// response counts as incomplete.
    void set_body_limit(std::size_t bytes);

    /// Cancels all runs and closes idle connections. No event of a run follows; a report that was requested
    /// may still follow.
    void stop();

  private:
    class implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace cornelpier
