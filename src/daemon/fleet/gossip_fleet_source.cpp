#include "daemon/fleet/gossip_fleet_source.hpp"

#include <utility>

namespace cornelpier {

gossip_fleet_source::gossip_fleet_source(fleet_source_context context, std::string node_address,
                                         platform_endpoints endpoints, std::uint64_t seed)
    : m_node_address(std::move(node_address)),
      m_gossip(
          context.control_context,
          [this](control_message message, std::string address) {
              m_control.post(control_message_received{std::move(message), std::move(address)});
          },
          context.log_event),
      m_platform(context.control_context, std::move(endpoints),
                 [this](control_event event) { m_control.post(std::move(event)); }),
      m_control(context.control_context, context.identity, seed,
                {m_gossip, context.links, m_platform, context.log_event, context.publish}) {}

void gossip_fleet_source::start() {
    m_gossip.start();
    m_control.start();
}

void gossip_fleet_source::on_message(control_message message) {
    m_control.post(control_message_received{std::move(message), ""});
}

void gossip_fleet_source::snapshot(std::function<void(control_snapshot)> on_snapshot) {
    m_control.snapshot(std::move(on_snapshot));
}

} // namespace cornelpier
