#pragma once

#include "cornelpier/node/traffic_options.hpp"
#include "cornelpier/plan/plan.hpp"

#include "tests/support/fake_network.hpp"
#include "tests/support/fake_server.hpp"

#include <memory>
#include <string>
#include <vector>

namespace cornelpier::testing {

/// A fleet to measure: the targets of one service, and nodes of another service that are entries only.
struct deployment {
    std::string name;
    std::shared_ptr<const plan> current_plan;
    service_id service;
    server_settings server;
    network_settings network;
    traffic_options options; ///< Mechanisms of policy `ours`.

    /// @return the targets of the measured service.
    [[nodiscard]] const std::vector<target_plan>& targets() const;

    /// @return all nodes; each is an entry.
    [[nodiscard]] std::vector<target_plan> entries() const;
};

/// @return `ro-centru` (comenzi) and `ie-east` (bins).
std::vector<deployment> deployments();

} // namespace cornelpier::testing
