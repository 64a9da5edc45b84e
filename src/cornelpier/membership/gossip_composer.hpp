#pragma once

#include "cornelpier/base/random_source.hpp"
#include "cornelpier/membership/member_manager.hpp"
#include "cornelpier/membership/record_selector.hpp"
#include "cornelpier/message/control_messages.hpp"

namespace cornelpier {

/// Plan state that every gossip message carries.
struct plan_summary {
    plan_digest digest;
    duration confirmed_age{};
};

/// Builds gossip messages.
class gossip_composer {
  public:
    /// @param members outlives the composer.
    gossip_composer(const node_identity& identity, member_manager& members, random_source random)
        : m_self(identity.self), m_process(identity.process), m_members(members),
          m_selector(identity.data_centre), m_random(random) {}

    /// @return a message that carries only the record of this node.
    gossip compose_heartbeat(const plan_summary& plan, time_point now);

    /// @return a message that starts an exchange of records.
    gossip compose_request(const plan_summary& plan, time_point now);

    /// @return the reply to a request. A heartbeat request gets a heartbeat.
    gossip compose_reply(const gossip& received, const plan_summary& plan, time_point now);

    /// @return the number of the last exchange that this node started.
    [[nodiscard]] std::uint64_t last_exchange() const { return m_last_exchange; }

    /// @return a heartbeat that starts an exchange, so that the peer replies with a heartbeat.
    gossip compose_heartbeat_request(const plan_summary& plan, time_point now);

  private:
    target_id m_self;
    incarnation m_process;
    member_manager& m_members;
    record_selector m_selector;
    random_source m_random;
    std::uint64_t m_last_exchange = 0;
};

} // namespace cornelpier
