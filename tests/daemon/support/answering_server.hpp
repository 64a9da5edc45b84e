#pragma once

#include "daemon/caller/caller_server.hpp"
#include "tests/daemon/support/running_context.hpp"

#include <string>

namespace cornelpier::test {

/// A server for callers that answers every call with 204 and keeps it.
class answering_server {
  public:
    answering_server();
    ~answering_server() { threads.stop(); }

    answering_server(const answering_server&) = delete;
    answering_server& operator=(const answering_server&) = delete;
    answering_server(answering_server&&) = delete;
    answering_server& operator=(answering_server&&) = delete;

    std::string address;
    inbox<call_arrived> calls;
    running_context threads;
    caller_server server;

  private:
    void on_event(traffic_event event);
};

} // namespace cornelpier::test
