#pragma once

#include "cornelpier/base/result.hpp"
#include "cornelpier/node/traffic_actions.hpp"

#include "daemon/caller/caller_context.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace cornelpier {

/// HTTP/1.1 towards callers. Malformed requests are answered here with verdict `not_run`; every other one
/// becomes `call_arrived` or `call_fate_requested` and waits for its answer.
class caller_server {
  public:
    /// @param io_context runs the connections.
    /// @param options limits and address.
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

    /// Begins to accept connections.
    void start();

    /// Sends an answer; ignored if the caller is gone. Callable on any thread.
    void answer(answer_caller answer);

    /// Takes the plan's limits on what callers send. Callable on any thread.
    void set_limits(const caller_limits& limits);

    /// Takes no new connections; those that are open or wait in the backlog are served.
    void stop_accepting();

    /// Takes no new connections, answers what is in progress and closes idle connections.
    /// @param on_done called once when no connection is left, at the latest after the limit
    /// of the options.
    void shut_down(std::function<void()> on_done);

    /// @return how many connections are open.
    [[nodiscard]] std::size_t connections() const;

  private:
    class implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace cornelpier
