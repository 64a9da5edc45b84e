#pragma once

#include "cornelpier/node/traffic_options.hpp"

#include "daemon/fleet/fleet_source.hpp"
#include "daemon/wire/wire_names.hpp"

#include <chrono>
#include <functional>
#include <string>
#include <vector>

namespace cornelpier {

/// Customization of a node by a platform adapter.
struct node_options {
    fleet_source_factory make_source; ///< Empty: plan and VM list come by gossip.
    wire_names names;
    traffic_options traffic;

    /// `IP:port` of the readiness probe of the platform; empty: no readiness port.
    std::string readiness_address = {};
    std::string readiness_path = "/ready";

    /// Time after SIGTERM during which callers are served as before, until they have learnt of the shutdown.
    std::chrono::milliseconds shutdown_delay{0};

    /// Time after SIGTERM at which the process ends even if calls are in progress; zero: no limit.
    std::chrono::milliseconds shutdown_timeout{0};

    /// Reads and checks the settings file after SIGHUP. Returns JSON pointers to the changed settings, or an
    /// error. The running settings stay in force in both cases. Empty: SIGHUP has no effect.
    std::function<result<std::vector<std::string>>()> reload = {};

    bool single_thread = false; ///< Traffic and control run on one thread.
};

} // namespace cornelpier
