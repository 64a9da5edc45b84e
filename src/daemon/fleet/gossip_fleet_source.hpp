#pragma once

#include "daemon/fleet/fleet_source.hpp"
#include "daemon/gossip/gossip_socket.hpp"
#include "daemon/node/control_runner.hpp"
#include "daemon/platform/platform_reader.hpp"

#include <cstdint>
#include <string>

namespace cornelpier {

/// Provides plans from the configuration service, which the nodes spread by gossip, and the list of VMs.
class gossip_fleet_source final : public fleet_source {
  public:
    /// @param context of the node; objects it refers to must outlive the source.
    /// @param node_address `IP:port` for gossip.
    /// @param endpoints of the configuration service and the VM list.
    /// @param seed of the random number generator.
    gossip_fleet_source(fleet_source_context context, std::string node_address, platform_endpoints endpoints,
                        std::uint64_t seed);

    error bind() override { return m_gossip.bind(m_node_address); }
    void start() override;
    void stop() override { m_gossip.stop(); }
    void on_state(node_state state) override { m_control.post(own_state_changed{state}); }
    void on_message(control_message message) override;
    void snapshot(std::function<void(control_snapshot)> on_snapshot) override;

  private:
    std::string m_node_address;
    gossip_socket m_gossip;
    platform_reader m_platform;
    control_runner m_control;
};

} // namespace cornelpier
