#pragma once

#include "daemon/caller/caller_server.hpp"
#include "tests/daemon/support/running_context.hpp"

#include <string>

namespace cornelpier::test {

/// `caller_server` that responds to every call with 204 and records it.
class stub_caller_server {
  public:
    stub_caller_server();
    ~stub_caller_server() { threads.stop(); }

    stub_caller_server(const stub_caller_server&) = delete;
    stub_caller_server& operator=(const stub_caller_server&) = delete;
    stub_caller_server(stub_caller_server&&) = delete;
    stub_caller_server& operator=(stub_caller_server&&) = delete;

    std::string address;
    value_recorder<call_arrived> calls;
    running_context threads;
    caller_server server;

  private:
    void on_event(traffic_event event);
};

} // namespace cornelpier::test
