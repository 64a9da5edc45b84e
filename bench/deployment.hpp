#pragma once

#include "cornelpier/node/traffic_options.hpp"
#include "cornelpier/plan/plan.hpp"

#include "tests/support/fake_network.hpp"
#include "tests/support/fake_server.hpp"

#include <memory>
#include <string>
#include <vector>

namespace cornelpier::testing {

/// Configuration of a benchmarked fleet: the targets of the measured service, and the nodes of another
/// service that act as entries only.
struct deployment {
    std::string name;
    std::shared_ptr<const plan> current_plan;
    service_id service;
    server_settings server;
    network_settings network;
    traffic_options options; ///< Mechanisms enabled for policy `ours`.

    /// @return the targets of the measured service.
    [[nodiscard]] const std::vector<target_plan>& targets() const;

    /// @return all nodes; each of them accepts calls as an entry.
    [[nodiscard]] std::vector<target_plan> entries() const;
};

/// @return `ro-centru` (measured service `comenzi`) and `ie-east` (measured service `bins`).
std::vector<deployment> deployments();

} // namespace cornelpier::testing
