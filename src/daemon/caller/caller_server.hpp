#pragma once

#include "cornelpier/base/result.hpp"
#include "cornelpier/node/traffic_actions.hpp"

#include "daemon/caller/caller_context.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace cornelpier {

/// HTTP/1.1 server for callers. It rejects malformed requests with verdict `not_run`, passes every other one
/// to the decision core as `call_arrived` or `call_fate_requested` and writes the core's response.
class caller_server {
  public:
    /// @param io_context runs the connections.
    /// @param options listen address, limits and timeouts.
    /// @param handler receives events; callable on any thread.
    /// @param sink receives log events; callable on any thread.
    caller_server(boost::asio::io_context& io_context, caller_options options, caller_event_handler handler,
                  event_sink sink);
    ~caller_server();

    caller_server(const caller_server&) = delete;
    caller_server& operator=(const caller_server&) = delete;
    caller_server(caller_server&&) = delete;
    caller_server& operator=(caller_server&&) = delete;

    /// Binds the address without accepting anything yet.
    /// @return an error with an empty reason if it worked.
    error bind();

    /// Starts accepting connections.
    void start();

    /// Sends the response to a call; ignored if the caller has disconnected. Callable on any thread.
    void answer(answer_caller answer);

    /// Applies the plan's limits on requests and idle connections. Callable on any thread.
    void set_limits(const caller_limits& limits);

    /// Sets the plan that requests with large bodies are compared with. Callable on any thread.
    void set_view(shared_fleet_view view);

    /// Closes the listener. Open connections and those in the backlog are still served.
    void stop_accepting();

    /// Closes the listener and idle connections and finishes requests in progress.
    /// @param on_done called once when no connection is left, at the latest shortly after
    /// `caller_options::stop_timeout`.
    void shut_down(std::function<void()> on_done);

    /// @return number of open connections.
    [[nodiscard]] std::size_t connections() const;

  private:
    class implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace cornelpier
