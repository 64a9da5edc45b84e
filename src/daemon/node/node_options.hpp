#pragma once

#include "cornelpier/node/traffic_options.hpp"

#include "daemon/fleet/fleet_source.hpp"
#include "daemon/wire/wire_names.hpp"

#include <chrono>
#include <functional>
#include <string>
#include <vector>

namespace cornelpier {

/// What an adapter replaces in a node.
struct node_options {
    fleet_source_factory make_source; ///< Empty: plans and VM list by gossip.
    wire_names names;
    traffic_options traffic;

    /// `IP:port` where a platform asks whether the node takes callers; empty: nobody asks.
    std::string readiness_address = {};
    std::string readiness_path = "/ready";

    /// Time after a request to stop during which callers are served as before, until they have been told.
    std::chrono::milliseconds shutdown_delay{0};

    /// Time after a request to stop at which the process ends whatever is in progress; zero: none.
    std::chrono::milliseconds shutdown_timeout{0};

    /// Reads the settings file again after SIGHUP. Returns the places that differ, or what is wrong with it;
    /// either way the settings in force stay. Empty: SIGHUP changes nothing.
    std::function<result<std::vector<std::string>>()> reload = {};

    bool single_thread = false; ///< Traffic and control share one thread.
};

} // namespace cornelpier
