#pragma once

#include "daemon/node/node_options.hpp"
#include "daemon/settings/node_settings.hpp"

#include <memory>

namespace cornelpier {

/// A node process: the decision cores and the I/O that executes their actions. One thread runs the control
/// context and `traffic_threads` threads run the traffic context.
class node_daemon {
  public:
    /// @param settings validated settings.
    /// @param options customization by a platform adapter.
    explicit node_daemon(node_settings settings, node_options options = {});
    ~node_daemon();

    node_daemon(const node_daemon&) = delete;
    node_daemon& operator=(const node_daemon&) = delete;
    node_daemon(node_daemon&&) = delete;
    node_daemon& operator=(node_daemon&&) = delete;

    /// Serves until the node has drained after SIGTERM or SIGINT. Serves nothing unless every address can be
    /// bound.
    /// @return exit status: 0, or 1 after printing an error to standard error.
    int run();

  private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace cornelpier
