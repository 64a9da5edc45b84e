#include "daemon/fleet/gossip_fleet_source.hpp"

#include <utility>

namespace cornelpier {

gossip_fleet_source::gossip_fleet_source(fleet_source_context context, std::string node_address,
                                         platform_options platform, std::uint64_t seed)
    : m_node_address(std::move(node_address)),
      m_gossip(
          context.control,
          [this](control_message message, std::string address) {
              m_control.post(control_message_received{std::move(message), std::move(address)});
          },
          context.record),
      m_platform(context.control, std::move(platform),
                 [this](control_event event) { m_control.post(std::move(event)); }),
      m_control(context.control, context.identity, seed,
                {m_gossip, context.links, m_platform, context.record, context.publish}) {}

void gossip_fleet_source::start() {
    m_gossip.start();
    m_control.start();
}

void gossip_fleet_source::on_message(control_message message) {
    m_control.post(control_message_received{std::move(message), ""});
}

void gossip_fleet_source::snapshot(std::function<void(control_snapshot)> on_taken) {
    m_control.snapshot(std::move(on_taken));
}

} // namespace cornelpier
