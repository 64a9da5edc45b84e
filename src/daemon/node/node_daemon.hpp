#pragma once

#include "daemon/node/node_options.hpp"
#include "daemon/settings/node_settings.hpp"

#include <memory>

namespace cornelpier {

/// One node process: the decision cores with everything that carries out their actions. One thread runs
/// control, `traffic_threads` threads run traffic.
class node_daemon {
  public:
    /// @param settings checked.
    /// @param options replace parts of the node.
    explicit node_daemon(node_settings settings, node_options options = {});
    ~node_daemon();

    node_daemon(const node_daemon&) = delete;
    node_daemon& operator=(const node_daemon&) = delete;
    node_daemon(node_daemon&&) = delete;
    node_daemon& operator=(node_daemon&&) = delete;

    /// Serves until SIGTERM or SIGINT has drained the node. Nothing is served unless every address could be
    /// bound.
    /// @return exit status: 0, or 1 with a message on standard error.
    int run();

  private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace cornelpier
